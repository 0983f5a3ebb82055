//! Model of the object API with latency, a write limit, outages and lost replies.

use std::collections::HashMap;

use briarrail_model::{MilliDuration, MilliTime};
use briarrail_outcome::{StoreCall, StoreReply, StoreVersion};
use bytes::Bytes;
use rand::Rng;
use rand::rngs::SmallRng;

const WRITES_PER_S: f64 = 300.0;
const WRITE_BURST: f64 = 60.0;
const MIN_CALL_LATENCY_MS: u64 = 2;
const MAX_CALL_LATENCY_MS: u64 = 8;

/// Simulated condition of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoreMode {
    Healthy,
    /// All calls are rejected.
    Down,
    /// Half of the replies are lost; half of those calls took effect.
    Lossy,
}

/// Counters of the store.
#[derive(Debug, Default)]
pub(crate) struct StoreCounts {
    pub(crate) writes: u64,
    pub(crate) reads: u64,
    pub(crate) bytes: u64,
}

/// Model of the object API.
#[derive(Debug)]
pub(crate) struct StoreModel {
    objects: HashMap<String, (u64, Bytes)>,
    revision: u64,
    write_tokens: f64,
    refilled_at: MilliTime,
    /// Time after which a caller considers a reply lost.
    reply_timeout: MilliDuration,
    pub(crate) counts: StoreCounts,
}

impl StoreModel {
    pub(crate) fn new(now: MilliTime, reply_timeout: MilliDuration) -> Self {
        Self {
            objects: HashMap::new(),
            revision: 0,
            write_tokens: WRITE_BURST,
            refilled_at: now,
            reply_timeout,
            counts: StoreCounts::default(),
        }
    }

    /// Performs a call and returns its reply and latency.
    pub(crate) fn call(
        &mut self,
        call: StoreCall,
        mode: StoreMode,
        now: MilliTime,
        rng: &mut SmallRng,
    ) -> (StoreReply, MilliDuration) {
        let latency = rng.random_range(MIN_CALL_LATENCY_MS..=MAX_CALL_LATENCY_MS);
        let latency = MilliDuration::from_millis(latency);
        let is_accepted = self.count_call(&call, now) && mode != StoreMode::Down;
        if !is_accepted {
            return (StoreReply::Unavailable, latency);
        }
        if mode == StoreMode::Lossy && rng.random::<bool>() {
            if rng.random::<bool>() {
                self.apply(call);
            }
            return (StoreReply::Unknown, self.reply_timeout);
        }
        (self.apply(call), latency)
    }

    /// Counts a call and returns whether the write limit allows it.
    fn count_call(&mut self, call: &StoreCall, now: MilliTime) -> bool {
        match call {
            StoreCall::Get { .. } => {
                self.counts.reads += 1;
                return true;
            }
            StoreCall::Put { value, .. } => self.counts.bytes += value.len() as u64,
            StoreCall::Delete { .. } => {}
        }
        self.counts.writes += 1;
        let refilled_tokens = now.since(self.refilled_at).as_secs_f64() * WRITES_PER_S;
        self.refilled_at = now;
        self.write_tokens = (self.write_tokens + refilled_tokens).min(WRITE_BURST);
        if self.write_tokens < 1.0 {
            return false;
        }
        self.write_tokens -= 1.0;
        true
    }

    fn apply(&mut self, call: StoreCall) -> StoreReply {
        match call {
            StoreCall::Get { key } => {
                let Some((version, value)) = self.objects.get(&key) else {
                    return StoreReply::Missing;
                };
                self.counts.bytes += value.len() as u64;
                StoreReply::Found {
                    version: StoreVersion(*version),
                    value: value.clone(),
                }
            }
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
        let version = self.objects.get(&key).map(|object| StoreVersion(object.0));
        if version != expected {
            return StoreReply::Conflict;
        }
        self.revision += 1;
        self.objects.insert(key, (self.revision, value));
        StoreReply::Written {
            version: StoreVersion(self.revision),
        }
    }
}
