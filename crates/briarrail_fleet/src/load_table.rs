//! Table of the targets' load records.

use std::collections::BTreeMap;

use briarrail_model::{LoadRecord, MilliDuration, MilliTime};
use briarrail_peer::LoadItem;

/// Minimum time between two published records of a target.
const MIN_PUBLISH_INTERVAL: MilliDuration = MilliDuration::from_millis(1_000);
/// Number of targets at which the dead band reaches its full width; it is narrower below.
const FULL_DEAD_BAND_TARGETS: u64 = 500;
/// Full dead band of a target above the mean load: 1/8 of the published value.
const ABOVE_MEAN_BAND_DIVISOR: u64 = 8;
/// Full dead band of a target below the mean load: 1/3 of the published value.
const BELOW_MEAN_BAND_DIVISOR: u64 = 3;

#[derive(Debug, Clone, Copy)]
struct LoadSlot {
    record: LoadRecord,
    /// Bit `k` is set while the record is to be sent at distance 2^k.
    distances: u16,
}

/// The latest load record of each target, with the ring distances at which it is still to be sent.
#[derive(Debug, Clone, Default)]
pub struct LoadTable {
    slots: BTreeMap<u32, LoadSlot>,
    published: BTreeMap<u32, LoadRecord>,
    total_streams: u64,
}

impl LoadTable {
    /// Returns the number of targets with a record.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns the record of the target with the given code.
    #[must_use]
    pub fn get(&self, code: u32) -> Option<LoadRecord> {
        self.slots.get(&code).map(|slot| slot.record)
    }

    /// Iterates over the target codes and their records.
    pub fn iter(&self) -> impl Iterator<Item = (u32, LoadRecord)> + '_ {
        self.slots.iter().map(|(&code, slot)| (code, slot.record))
    }

    /// Stores a load that this router observed, and returns whether it is to be published.
    ///
    /// A record is published when it differs enough from the last published one or when that one is
    /// older than `refresh`.
    pub fn observe(
        &mut self,
        code: u32,
        record: &LoadRecord,
        distances: u16,
        refresh: MilliDuration,
    ) -> bool {
        let record = LoadItem::quantize(record);
        let known = self.get(code);
        if known.is_some_and(|known| !record.supersedes(&known)) {
            return false;
        }
        let publish = self.should_publish(code, &record, refresh);
        let pending = self.slots.get(&code).map_or(0, |slot| slot.distances);
        let distances = if publish { distances } else { pending };
        self.insert(code, LoadSlot { record, distances });
        if publish {
            self.published.insert(code, record);
        }
        publish
    }

    /// Stores a record of this router and publishes it unconditionally.
    pub fn publish(&mut self, code: u32, record: &LoadRecord, distances: u16) {
        let record = LoadItem::quantize(record);
        self.insert(code, LoadSlot { record, distances });
    }

    fn should_publish(&self, code: u32, record: &LoadRecord, refresh: MilliDuration) -> bool {
        let Some(published) = self.published.get(&code) else {
            return true;
        };
        let age = record.version.since(published.version);
        if age < MIN_PUBLISH_INTERVAL {
            return false;
        }
        let change = u64::from(record.streams.abs_diff(published.streams));
        let scale = (self.slots.len() as u64).min(FULL_DEAD_BAND_TARGETS);
        let max_streams = u64::from(record.streams.max(published.streams));
        let is_above = max_streams * self.slots.len() as u64 > self.total_streams;
        let divisor = if is_above {
            ABOVE_MEAN_BAND_DIVISOR
        } else {
            BELOW_MEAN_BAND_DIVISOR
        };
        let band = u64::from(published.streams) * scale / (divisor * FULL_DEAD_BAND_TARGETS);
        record.keep_share != published.keep_share || change > band || age >= refresh
    }

    /// Merges a peer's record and returns whether it supersedes the stored one.
    pub fn merge(&mut self, now: MilliTime, item: &LoadItem, distances: u16) -> bool {
        let record = item.to_record(now);
        let known = self.get(item.target);
        if known.is_some_and(|known| !record.supersedes(&known)) {
            return false;
        }
        let distances = item.distance_mask & distances;
        self.insert(item.target, LoadSlot { record, distances });
        true
    }

    fn insert(&mut self, code: u32, slot: LoadSlot) {
        self.total_streams += u64::from(slot.record.streams);
        if let Some(before) = self.slots.insert(code, slot) {
            self.total_streams -= u64::from(before.record.streams);
        }
    }

    /// Takes up to `limit` records that are still to be sent at the ring distance of `bit`.
    pub fn take_due(&mut self, bit: u16, limit: usize) -> Vec<LoadItem> {
        let due = self
            .slots
            .iter_mut()
            .filter(|(_, slot)| slot.distances & bit != 0);
        let taken = due.take(limit).map(|(&code, slot)| {
            slot.distances &= !bit;
            LoadItem::new(code, slot.distances, &slot.record)
        });
        taken.collect()
    }

    /// Returns the number of records that are still to be sent at the ring distance of `bit`.
    #[must_use]
    pub fn due_count(&self, bit: u16) -> usize {
        let due = |slot: &&LoadSlot| slot.distances & bit != 0;
        self.slots.values().filter(due).count()
    }

    /// Keeps only the records for which `keep` returns true.
    pub fn retain<K>(&mut self, keep: K)
    where
        K: Fn(u32, &LoadRecord) -> bool,
    {
        self.slots.retain(|&code, slot| keep(code, &slot.record));
        let streams = |slot: &LoadSlot| u64::from(slot.record.streams);
        self.total_streams = self.slots.values().map(streams).sum();
        self.published.retain(|&code, record| keep(code, record));
    }
}
