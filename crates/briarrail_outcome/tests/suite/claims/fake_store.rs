//! In-memory object store with outages, lost replies and late writes.

use std::collections::BTreeMap;

use briarrail_outcome::{StoreCall, StoreReply, StoreVersion};
use bytes::Bytes;

const MAX_VALUE_BYTES: usize = 1 << 20;

/// Outcome of a store call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    Success,
    Refused,
    /// The call takes effect, but the reply is lost.
    ReplyLost,
    /// The reply is lost, and the call may take effect later.
    AppliedLate,
    /// The call is lost and has no effect.
    RequestLost,
}

/// In-memory object store with fault injection.
#[derive(Default)]
pub(crate) struct FakeStore {
    objects: BTreeMap<String, (u64, Bytes)>,
    revision: u64,
    late_writes: Vec<StoreCall>,
    pub(crate) is_down: bool,
    pub(crate) segments_written: u64,
}

impl FakeStore {
    pub(crate) fn call(&mut self, call: StoreCall, outcome: CallOutcome) -> StoreReply {
        match outcome {
            CallOutcome::Refused => StoreReply::Unavailable,
            CallOutcome::Success => self.apply(call),
            CallOutcome::ReplyLost => {
                self.apply(call);
                StoreReply::Unknown
            }
            CallOutcome::AppliedLate => {
                self.late_writes.push(call);
                StoreReply::Unknown
            }
            CallOutcome::RequestLost => StoreReply::Unknown,
        }
    }

    /// Applies one late call.
    pub(crate) fn apply_late_write(&mut self, index: usize) {
        if !self.late_writes.is_empty() {
            let call = self.late_writes.swap_remove(index % self.late_writes.len());
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
        self.segments_written += u64::from(key.contains("/seg/"));
        self.objects.insert(key, (self.revision, value));
        StoreReply::Written {
            version: StoreVersion(self.revision),
        }
    }
}
