//! Load records of targets.

use std::collections::BTreeMap;

use briarrail_model::{LoadRecord, MilliDuration, MilliTime};
use briarrail_peer::LoadItem;

const MIN_PUBLISH_GAP: MilliDuration = MilliDuration::from_millis(1_000);
/// Number of targets from which on the dead band has its full width.
const WIDE_TABLE: u64 = 500;
/// Full width of the dead band of a target above the mean: a change by an eighth.
const NARROW_BAND_PARTS: u64 = 8;
/// Full width of the dead band of a target below the mean: a change by a third.
const WIDE_BAND_PARTS: u64 = 3;

#[derive(Debug, Clone, Copy)]
struct LoadSlot {
    record: LoadRecord,
    distances: u16,
}

/// The latest load record of each target, and the ring distances that each still has to go.
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

    /// Returns the record of the target with a code.
    #[must_use]
    pub fn get(&self, code: u32) -> Option<LoadRecord> {
        self.slots.get(&code).map(|slot| slot.record)
    }

    /// Returns all records with the codes of their targets.
    pub fn iter(&self) -> impl Iterator<Item = (u32, LoadRecord)> + '_ {
        self.slots.iter().map(|(&code, slot)| (code, slot.record))
    }

    /// Takes over the router's own observation, and publishes it when it differs enough.
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
        let publish = self.is_worth_sending(code, &record, refresh);
        let pending = self.slots.get(&code).map_or(0, |slot| slot.distances);
        let distances = if publish { distances } else { pending };
        self.set(code, LoadSlot { record, distances });
        if publish {
            self.published.insert(code, record);
        }
        publish
    }

    /// Takes over a record of this router's own, and publishes it whatever it says.
    pub fn publish(&mut self, code: u32, record: &LoadRecord, distances: u16) {
        let record = LoadItem::quantize(record);
        self.set(code, LoadSlot { record, distances });
    }

    fn is_worth_sending(&self, code: u32, record: &LoadRecord, refresh: MilliDuration) -> bool {
        let Some(published) = self.published.get(&code) else {
            return true;
        };
        let age = record.version.since(published.version);
        if age < MIN_PUBLISH_GAP {
            return false;
        }
        let moved = u64::from(record.streams.abs_diff(published.streams));
        let table = (self.slots.len() as u64).min(WIDE_TABLE);
        let highest = u64::from(record.streams.max(published.streams));
        let is_above = highest * self.slots.len() as u64 > self.total_streams;
        let parts = if is_above {
            NARROW_BAND_PARTS
        } else {
            WIDE_BAND_PARTS
        };
        let band = u64::from(published.streams) * table / (parts * WIDE_TABLE);
        record.keep_share != published.keep_share || moved > band || age >= refresh
    }

    /// Takes over a record of a peer and returns whether it was news.
    pub fn merge(&mut self, now: MilliTime, item: &LoadItem, distances: u16) -> bool {
        let record = item.to_record(now);
        let known = self.get(item.target);
        if known.is_some_and(|known| !record.supersedes(&known)) {
            return false;
        }
        let distances = item.distance_mask & distances;
        self.set(item.target, LoadSlot { record, distances });
        true
    }

    fn set(&mut self, code: u32, slot: LoadSlot) {
        self.total_streams += u64::from(slot.record.streams);
        if let Some(before) = self.slots.insert(code, slot) {
            self.total_streams -= u64::from(before.record.streams);
        }
    }

    /// Takes at most `limit` records that still have to go the distance with bit `bit`.
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

    /// Returns the number of records that still have to go the distance with bit `bit`.
    #[must_use]
    pub fn due_count(&self, bit: u16) -> usize {
        let due = |slot: &&LoadSlot| slot.distances & bit != 0;
        self.slots.values().filter(due).count()
    }

    /// Drops the records that are not to be kept, such as those of targets that are gone.
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
