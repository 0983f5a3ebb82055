//! A model of the object API: latency, write limit, outages, lost replies.

use std::collections::HashMap;

use briarrail_model::{MilliDuration, MilliTime};
use briarrail_outcome::{StoreCall, StoreReply, StoreVersion};
use bytes::Bytes;
use rand::Rng;
use rand::rngs::SmallRng;

const WRITES_PER_S: f64 = 300.0;
const WRITE_BURST: f64 = 60.0;
const MIN_LATENCY_MS: u64 = 2;
const MAX_LATENCY_MS: u64 = 8;

/// How the store behaves for a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoreMode {
    Good,
    /// Calls are refused.
    Down,
    /// Half of the replies are lost, after the write took effect or before.
    Lossy,
}

/// What the store has counted.
#[derive(Debug, Default)]
pub(crate) struct StoreCounts {
    pub(crate) writes: u64,
    pub(crate) reads: u64,
    pub(crate) bytes: u64,
}

/// A model of the object API.
#[derive(Debug)]
pub(crate) struct StoreModel {
    objects: HashMap<String, (u64, Bytes)>,
    revision: u64,
    tokens: f64,
    refilled_at: MilliTime,
    /// Time after which a caller takes a reply for lost.
    timeout: MilliDuration,
    pub(crate) counts: StoreCounts,
}

impl StoreModel {
    pub(crate) fn new(now: MilliTime, timeout: MilliDuration) -> Self {
        Self {
            objects: HashMap::new(),
            revision: 0,
            tokens: WRITE_BURST,
            refilled_at: now,
            timeout,
            counts: StoreCounts::default(),
        }
    }

    /// Makes a call; returns its reply and the time that it takes.
    pub(crate) fn call(
        &mut self,
        call: StoreCall,
        mode: StoreMode,
        now: MilliTime,
        rng: &mut SmallRng,
    ) -> (StoreReply, MilliDuration) {
        let latency = rng.random_range(MIN_LATENCY_MS..=MAX_LATENCY_MS);
        let latency = MilliDuration::from_millis(latency);
        let is_taken = self.count(&call, now) && mode != StoreMode::Down;
        if !is_taken {
            return (StoreReply::Unavailable, latency);
        }
        if mode == StoreMode::Lossy && rng.random::<bool>() {
            if rng.random::<bool>() {
                self.apply(call);
            }
            return (StoreReply::Unknown, self.timeout);
        }
        (self.apply(call), latency)
    }

    /// Counts a call and returns whether the limits allow it.
    fn count(&mut self, call: &StoreCall, now: MilliTime) -> bool {
        match call {
            StoreCall::Get { .. } => {
                self.counts.reads += 1;
                return true;
            }
            StoreCall::Put { value, .. } => self.counts.bytes += value.len() as u64,
            StoreCall::Delete { .. } => {}
        }
        self.counts.writes += 1;
        let refill = now.since(self.refilled_at).as_secs_f64() * WRITES_PER_S;
        self.refilled_at = now;
        self.tokens = (self.tokens + refill).min(WRITE_BURST);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
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
