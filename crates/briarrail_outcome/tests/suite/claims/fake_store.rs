//! A fake of the object API with outages, lost replies and late writes.

use std::collections::BTreeMap;

use briarrail_outcome::{StoreCall, StoreReply, StoreVersion};
use bytes::Bytes;

const MAX_VALUE_BYTES: usize = 1 << 20;

/// How a call goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallFate {
    Good,
    Refused,
    /// The call takes effect, the reply is lost.
    ReplyLost,
    /// The reply is lost, and a write takes effect at some later time.
    Late,
    /// The call is lost.
    Lost,
}

/// A fake of the object API.
#[derive(Default)]
pub(crate) struct FakeStore {
    objects: BTreeMap<String, (u64, Bytes)>,
    revision: u64,
    late: Vec<StoreCall>,
    pub(crate) is_down: bool,
    pub(crate) segments: u64,
}

impl FakeStore {
    pub(crate) fn call(&mut self, call: StoreCall, fate: CallFate) -> StoreReply {
        match fate {
            CallFate::Refused => StoreReply::Unavailable,
            CallFate::Good => self.apply(call),
            CallFate::ReplyLost => {
                self.apply(call);
                StoreReply::Unknown
            }
            CallFate::Late => {
                self.late.push(call);
                StoreReply::Unknown
            }
            CallFate::Lost => StoreReply::Unknown,
        }
    }

    /// Lets one late write take effect.
    pub(crate) fn land_late(&mut self, index: usize) {
        if !self.late.is_empty() {
            let call = self.late.swap_remove(index % self.late.len());
            self.apply(call);
        }
    }

    fn apply(&mut self, call: StoreCall) -> StoreReply {
        match call {
            StoreCall::Get { key } => match self.objects.get(&key) {
                Some((version, value)) => StoreReply::Found {
                    version: StoreVersion(*version),
                    value: value.clone(),
                },
                None => StoreReply::Missing,
            },
            StoreCall::Put {
                key,
                value,
                expected,
            } => self.put(key, value, expected),
            StoreCall::Delete { key } => match self.objects.remove(&key) {
                Some(_) => StoreReply::Deleted,
                None => StoreReply::Missing,
            },
        }
    }

    fn put(&mut self, key: String, value: Bytes, expected: Option<StoreVersion>) -> StoreReply {
        assert!(value.len() <= MAX_VALUE_BYTES, "{key} is too large");
        let version = self.objects.get(&key).map(|object| StoreVersion(object.0));
        if version != expected {
            return StoreReply::Conflict;
        }
        self.revision += 1;
        self.segments += u64::from(key.contains("/seg/"));
        self.objects.insert(key, (self.revision, value));
        StoreReply::Written {
            version: StoreVersion(self.revision),
        }
    }
}
