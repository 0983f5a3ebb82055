//! An object store in memory, with faults.

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

/// What befalls one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The call works.
    None,
    /// The call is not carried out, and says so.
    Refuse,
    /// The call takes effect, and its reply is lost.
    LoseReply,
    /// The call is lost on its way.
    LoseCall,
    /// The reply is lost, and the call takes effect at some later time.
    Delay,
}

#[derive(Debug)]
struct Write {
    key: String,
    value: Option<Bytes>,
    condition: WriteCondition,
}

/// Calls so far, and the bytes of values that they carried.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct StoreCalls {
    pub(crate) reads: usize,
    pub(crate) writes: usize,
    pub(crate) read_bytes: usize,
    pub(crate) written_bytes: usize,
}

#[derive(Debug, Default)]
struct Contents {
    calls: StoreCalls,
    objects: BTreeMap<String, (ObjectVersion, Bytes)>,
    revision: u64,
    heads: Vec<HeadObject>,
    script: VecDeque<Fault>,
    delayed: Vec<Write>,
    chaos: Option<(SmallRng, u32)>,
    down: bool,
}

/// The store; calls yield at random points, so that editors interleave.
#[derive(Debug, Default)]
pub(crate) struct FakeStore {
    contents: Mutex<Contents>,
}

impl FakeStore {
    /// Makes a store whose calls fail with a chance of `percent`, as a seed decides.
    pub(crate) fn with_chaos(seed: u64, percent: u32) -> Self {
        let store = Self::default();
        store.lock().chaos = Some((SmallRng::seed_from_u64(seed), percent));
        store
    }

    /// Lets the next writes meet faults in turn.
    pub(crate) fn script<F>(&self, faults: F)
    where
        F: IntoIterator<Item = Fault>,
    {
        self.lock().script.extend(faults);
    }

    /// Makes every call fail, or work again.
    pub(crate) fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Ends all faults; writes under way take effect now or never.
    pub(crate) fn calm(&self) {
        let mut contents = self.lock();
        contents.chaos = None;
        contents.down = false;
        let delayed = std::mem::take(&mut contents.delayed);
        for write in delayed {
            let _ = contents.write(&write);
        }
    }

    /// Returns every head that was ever stored, oldest first.
    pub(crate) fn heads(&self) -> Vec<HeadObject> {
        self.lock().heads.clone()
    }

    /// Returns the calls since the last time, and counts anew.
    pub(crate) fn take_calls(&self) -> StoreCalls {
        std::mem::take(&mut self.lock().calls)
    }

    /// Returns the keys of all objects.
    pub(crate) fn keys(&self) -> Vec<String> {
        self.lock().objects.keys().cloned().collect()
    }

    /// Deletes an object behind the editors' backs.
    pub(crate) fn forget(&self, key: &str) {
        self.lock().objects.remove(key);
    }

    fn lock(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap()
    }

    async fn pause(&self) {
        let turns = self.lock().draw(4);
        for _ in 0..turns {
            tokio::task::yield_now().await;
        }
    }

    async fn change(&self, write: Write) -> Result<ObjectVersion, StoreError> {
        self.pause().await;
        let result = self.lock().meet_fault(write);
        self.pause().await;
        result
    }

    async fn read<T, F>(&self, read: F) -> Result<T, StoreError>
    where
        F: FnOnce(&Contents) -> T + Send,
    {
        self.pause().await;
        let mut contents = self.lock();
        contents.calls.reads += 1;
        contents.release_delayed();
        if contents.down || contents.strikes() {
            return Err(StoreError::new(StoreErrorKind::Unavailable, "fake"));
        }
        Ok(read(&contents))
    }
}

impl Contents {
    fn draw(&mut self, bound: u32) -> u32 {
        let chaos = self.chaos.as_mut();
        chaos.map_or(0, |(rng, _)| rng.random_range(0..bound))
    }

    fn strikes(&mut self) -> bool {
        let percent = self.chaos.as_ref().map_or(0, |&(_, percent)| percent);
        self.draw(100) < percent
    }

    fn next_fault(&mut self) -> Fault {
        if let Some(fault) = self.script.pop_front() {
            return fault;
        }
        if self.down {
            return Fault::Refuse;
        }
        if !self.strikes() {
            return Fault::None;
        }
        let faults = [
            Fault::Refuse,
            Fault::LoseReply,
            Fault::LoseCall,
            Fault::Delay,
        ];
        faults[self.draw(4) as usize]
    }

    fn meet_fault(&mut self, write: Write) -> Result<ObjectVersion, StoreError> {
        self.calls.writes += 1;
        self.calls.written_bytes += write.value.as_ref().map_or(0, Bytes::len);
        self.release_delayed();
        let lost = Err(StoreError::new(StoreErrorKind::Unknown, "fake"));
        match self.next_fault() {
            Fault::None => self.write(&write),
            Fault::Refuse => Err(StoreError::new(StoreErrorKind::Unavailable, "fake")),
            Fault::LoseReply => {
                let _ = self.write(&write);
                lost
            }
            Fault::LoseCall => lost,
            Fault::Delay => {
                self.delayed.push(write);
                lost
            }
        }
    }

    fn release_delayed(&mut self) {
        let due = self.chaos.is_some() && self.draw(3) == 0;
        if due && !self.delayed.is_empty() {
            let write = self.delayed.remove(0);
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
            return Err(StoreError::new(StoreErrorKind::Conflict(current), "fake"));
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
            let value = write.value.as_ref().expect("nobody deletes the head");
            self.heads.push(serde_json::from_slice(value).unwrap());
        }
        Ok(version)
    }
}

impl ObjectStore for FakeStore {
    async fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        let stored = |&(version, ref value): &(ObjectVersion, Bytes)| StoredObject {
            version,
            value: value.clone(),
        };
        let found = self.read(|contents| contents.objects.get(key).map(stored));
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
        self.change(write).await
    }

    async fn delete(&self, key: &str, condition: WriteCondition) -> Result<(), StoreError> {
        let write = Write {
            key: key.to_owned(),
            value: None,
            condition,
        };
        self.change(write).await.map(drop)
    }

    async fn list(&self, prefix: &str) -> Result<ObjectListing, StoreError> {
        self.read(|contents| {
            let below = contents.objects.iter();
            let below = below.filter(|(key, _)| key.starts_with(prefix));
            let listed = below.map(|(key, &(version, _))| ListedObject {
                key: key.clone(),
                version,
            });
            ObjectListing {
                revision: ObjectVersion(contents.revision),
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
        Err(StoreError::new(StoreErrorKind::Invalid, "not needed here"))
    }
}
