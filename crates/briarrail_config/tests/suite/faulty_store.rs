//! In-memory object store with injected faults.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use briarrail_config::{HEAD_KEY, HeadObject};
use briarrail_platform::{
    ListedObject, MAX_VALUE_BYTES, ObjectListing, ObjectStore, ObjectVersion, StoreError,
    StoreErrorKind, StoredObject, WatchBatch, WriteCondition,
};
use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Fault injected into one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The write succeeds if its condition holds.
    None,
    /// The write is not processed, and the error says so.
    Refuse,
    /// The write takes effect, but its reply is lost.
    LoseReply,
    /// The request is lost, so the write has no effect.
    LoseRequest,
    /// The reply is lost, and the write takes effect later.
    DelayWrite,
}

#[derive(Debug)]
struct Write {
    key: String,
    value: Option<Bytes>,
    condition: WriteCondition,
}

/// Number of calls, and the total size of the values in them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct StoreCalls {
    pub(crate) reads: usize,
    pub(crate) writes: usize,
    pub(crate) read_bytes: usize,
    pub(crate) written_bytes: usize,
}

#[derive(Debug, Default)]
struct StoreState {
    calls: StoreCalls,
    objects: BTreeMap<String, (ObjectVersion, Bytes)>,
    revision: u64,
    heads: Vec<HeadObject>,
    queued_faults: VecDeque<Fault>,
    delayed_writes: Vec<Write>,
    /// Random generator, and the chance of a fault in percent.
    random_faults: Option<(SmallRng, u32)>,
    down: bool,
}

/// In-memory object store; with random faults, calls yield a random number of times so that
/// concurrent editors interleave.
#[derive(Debug, Default)]
pub(crate) struct FaultyStore {
    state: Mutex<StoreState>,
}

impl FaultyStore {
    /// Creates a store whose calls fail with a probability of `percent`, determined by a seed.
    pub(crate) fn with_random_faults(seed: u64, percent: u32) -> Self {
        let store = Self::default();
        store.lock().random_faults = Some((SmallRng::seed_from_u64(seed), percent));
        store
    }

    /// Queues faults for the next writes.
    pub(crate) fn queue_faults<F>(&self, faults: F)
    where
        F: IntoIterator<Item = Fault>,
    {
        self.lock().queued_faults.extend(faults);
    }

    /// Starts or ends an outage, during which reads and writes without a queued fault fail.
    pub(crate) fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Ends the random faults and the outage, and applies the delayed writes.
    pub(crate) fn end_faults(&self) {
        let mut state = self.lock();
        state.random_faults = None;
        state.down = false;
        let delayed_writes = std::mem::take(&mut state.delayed_writes);
        for write in delayed_writes {
            let _ = state.write(&write);
        }
    }

    /// Returns every head that was stored, oldest first.
    pub(crate) fn heads(&self) -> Vec<HeadObject> {
        self.lock().heads.clone()
    }

    /// Returns and resets the call counts.
    pub(crate) fn take_calls(&self) -> StoreCalls {
        std::mem::take(&mut self.lock().calls)
    }

    /// Returns the keys of all objects.
    pub(crate) fn keys(&self) -> Vec<String> {
        self.lock().objects.keys().cloned().collect()
    }

    /// Removes an object without going through the object API.
    pub(crate) fn remove_object(&self, key: &str) {
        self.lock().objects.remove(key);
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap()
    }

    async fn yield_randomly(&self) {
        let yields = self.lock().random_below(4);
        for _ in 0..yields {
            tokio::task::yield_now().await;
        }
    }

    async fn send_write(&self, write: Write) -> Result<ObjectVersion, StoreError> {
        self.yield_randomly().await;
        let result = self.lock().write_with_fault(write);
        self.yield_randomly().await;
        result
    }

    async fn read<T, F>(&self, read: F) -> Result<T, StoreError>
    where
        F: FnOnce(&StoreState) -> T + Send,
    {
        self.yield_randomly().await;
        let mut state = self.lock();
        state.calls.reads += 1;
        state.maybe_apply_delayed_write();
        if state.down || state.draw_fault() {
            return Err(StoreError::new(StoreErrorKind::Unavailable, "faulty store"));
        }
        Ok(read(&state))
    }
}

impl StoreState {
    /// Returns a random number below a bound, or 0 without random faults.
    fn random_below(&mut self, bound: u32) -> u32 {
        let random_faults = self.random_faults.as_mut();
        random_faults.map_or(0, |(rng, _)| rng.random_range(0..bound))
    }

    /// Decides at random whether the next call fails.
    fn draw_fault(&mut self) -> bool {
        let percent = self
            .random_faults
            .as_ref()
            .map_or(0, |&(_, percent)| percent);
        self.random_below(100) < percent
    }

    fn next_fault(&mut self) -> Fault {
        if let Some(fault) = self.queued_faults.pop_front() {
            return fault;
        }
        if self.down {
            return Fault::Refuse;
        }
        if !self.draw_fault() {
            return Fault::None;
        }
        let faults = [
            Fault::Refuse,
            Fault::LoseReply,
            Fault::LoseRequest,
            Fault::DelayWrite,
        ];
        faults[self.random_below(4) as usize]
    }

    fn write_with_fault(&mut self, write: Write) -> Result<ObjectVersion, StoreError> {
        self.calls.writes += 1;
        self.calls.written_bytes += write.value.as_ref().map_or(0, Bytes::len);
        self.maybe_apply_delayed_write();
        let lost = Err(StoreError::new(StoreErrorKind::Unknown, "faulty store"));
        match self.next_fault() {
            Fault::None => self.write(&write),
            Fault::Refuse => Err(StoreError::new(StoreErrorKind::Unavailable, "faulty store")),
            Fault::LoseReply => {
                let _ = self.write(&write);
                lost
            }
            Fault::LoseRequest => lost,
            Fault::DelayWrite => {
                self.delayed_writes.push(write);
                lost
            }
        }
    }

    /// Applies the oldest delayed write with a probability of one third.
    fn maybe_apply_delayed_write(&mut self) {
        let due = self.random_faults.is_some() && self.random_below(3) == 0;
        if due && !self.delayed_writes.is_empty() {
            let write = self.delayed_writes.remove(0);
            let _ = self.write(&write);
        }
    }

    fn write(&mut self, write: &Write) -> Result<ObjectVersion, StoreError> {
        let current = self.objects.get(&write.key).map(|&(version, _)| version);
        let holds = match write.condition {
            WriteCondition::Version(version) => current == Some(version),
            WriteCondition::Absent => current.is_none(),
            WriteCondition::Always => true,
        };
        if !holds {
            return Err(StoreError::new(
                StoreErrorKind::Conflict(current),
                "faulty store",
            ));
        }
        self.revision += 1;
        let version = ObjectVersion(self.revision);
        match &write.value {
            Some(value) => {
                assert!(value.len() <= MAX_VALUE_BYTES, "{} is too large", write.key);
                let entry = (version, value.clone());
                self.objects.insert(write.key.clone(), entry);
            }
            None => drop(self.objects.remove(&write.key)),
        }
        if write.key == HEAD_KEY {
            let value = write.value.as_ref().expect("the head is never deleted");
            self.heads.push(serde_json::from_slice(value).unwrap());
        }
        Ok(version)
    }
}

impl ObjectStore for FaultyStore {
    async fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        let stored = |&(version, ref value): &(ObjectVersion, Bytes)| StoredObject {
            version,
            value: value.clone(),
        };
        let found = self.read(|state| state.objects.get(key).map(stored));
        let found = found.await?;
        self.lock().calls.read_bytes += found.as_ref().map_or(0, |object| object.value.len());
        Ok(found)
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        condition: WriteCondition,
    ) -> Result<ObjectVersion, StoreError> {
        let write = Write {
            key: key.to_owned(),
            value: Some(value),
            condition,
        };
        self.send_write(write).await
    }

    async fn delete(&self, key: &str, condition: WriteCondition) -> Result<(), StoreError> {
        let write = Write {
            key: key.to_owned(),
            value: None,
            condition,
        };
        self.send_write(write).await.map(drop)
    }

    async fn list(&self, prefix: &str) -> Result<ObjectListing, StoreError> {
        self.read(|state| {
            let objects = state.objects.iter();
            let matching = objects.filter(|(key, _)| key.starts_with(prefix));
            let listed = matching.map(|(key, &(version, _))| ListedObject {
                key: key.clone(),
                version,
            });
            ObjectListing {
                revision: ObjectVersion(state.revision),
                objects: listed.collect(),
            }
        })
        .await
    }

    async fn watch(
        &self,
        _prefix: &str,
        _after: ObjectVersion,
        _timeout: Duration,
    ) -> Result<WatchBatch, StoreError> {
        Err(StoreError::new(
            StoreErrorKind::Invalid,
            "watches are not supported by the faulty store",
        ))
    }
}
