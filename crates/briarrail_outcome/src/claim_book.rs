//! What the owner of a bucket knows of its claims.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use briarrail_model::MilliTime;
use bytes::Bytes;

use crate::claim_draft::ClaimDraft;
use crate::claim_head::{ClaimHead, SegmentName, SegmentRef, encode_records};
use crate::claim_record::{ClaimRecord, ClaimState};
use crate::{ClaimSettings, StoreVersion};

const SEGMENT_ENTRY_BYTES: usize = 48;

/// What the owner of a bucket knows of its claims, as of one version of the head.
///
/// Records of the head and of all loaded segments are in memory. Segments load newest first, so
/// that a record found in memory is the newest of its key.
#[derive(Debug, Clone)]
pub(crate) struct ClaimBook {
    version: Option<StoreVersion>,
    /// The head without its records.
    head: ClaimHead,
    records: HashMap<Arc<str>, ClaimRecord>,
    /// Keys of the records that the head holds.
    head_keys: BTreeSet<Arc<str>>,
    head_weight: usize,
    loaded: BTreeSet<SegmentName>,
    /// Segments whose objects were deleted and whose entries leave with the next commit.
    deleted: BTreeSet<SegmentName>,
}

/// Records that a commit moves from the head to a segment.
#[derive(Debug, Clone)]
pub(crate) struct SegmentPlan {
    pub(crate) entry: SegmentRef,
    pub(crate) keys: BTreeSet<Arc<str>>,
    pub(crate) value: Bytes,
}

impl ClaimBook {
    /// Makes the book of a head that was read; `None` for a bucket without a head.
    pub(crate) fn new(version: Option<StoreVersion>, head: ClaimHead) -> Self {
        let mut book = Self {
            version: None,
            head: ClaimHead::default(),
            records: HashMap::new(),
            head_keys: BTreeSet::new(),
            head_weight: 0,
            loaded: BTreeSet::new(),
            deleted: BTreeSet::new(),
        };
        book.adopt(version, head);
        book
    }

    /// Takes a head that was read anew.
    pub(crate) fn adopt(&mut self, version: Option<StoreVersion>, mut head: ClaimHead) {
        let sealed_elsewhere = |entry: &SegmentRef| !self.loaded.contains(&entry.name);
        if head.segments.iter().any(sealed_elsewhere) {
            // A record in memory may be older than one of its key in the new segment.
            self.records.clear();
            self.loaded.clear();
        }
        for key in std::mem::take(&mut self.head_keys) {
            self.records.remove(&key);
        }
        self.deleted.clear();
        self.head_weight = 0;
        for record in std::mem::take(&mut head.records) {
            self.insert_head_record(record);
        }
        self.version = version;
        self.head = head;
    }

    pub(crate) const fn version(&self) -> Option<StoreVersion> {
        self.version
    }

    pub(crate) const fn head(&self) -> &ClaimHead {
        &self.head
    }

    /// Returns whether there is room for a draft of a weight in bytes.
    pub(crate) fn has_room(&self, weight: usize, settings: &ClaimSettings) -> bool {
        let entries = self.head.segments.len() * SEGMENT_ENTRY_BYTES;
        let is_light = self.head_weight + entries + weight < settings.head_limit_bytes;
        is_light && self.records.len() < settings.record_limit
    }

    pub(crate) fn record(&self, key: &str) -> Option<&ClaimRecord> {
        self.records.get(key)
    }

    /// Returns the time before which keys are refused.
    pub(crate) fn floor_at(&self, now: MilliTime, settings: &ClaimSettings) -> MilliTime {
        self.head.floor.max(now - settings.retention_ms)
    }

    /// Returns the time of a grant made now.
    pub(crate) fn stamp_at(&self, now: MilliTime) -> MilliTime {
        self.head.stamp.max(now)
    }

    /// Returns whether a key that is not in memory is known to have no record.
    ///
    /// A claim is never granted earlier than its key's time less the clock skew, so segments
    /// that end before need not be loaded. A key without a time needs all of them.
    pub(crate) fn is_decidable(
        &self,
        key_time: Option<MilliTime>,
        settings: &ClaimSettings,
    ) -> bool {
        let Some(time) = key_time else {
            return self.next_unloaded().is_none();
        };
        let earliest = time - settings.clock_skew_ms;
        let mut unloaded = self.unloaded();
        unloaded.all(|entry| entry.newest_claim < earliest)
    }

    fn unloaded(&self) -> impl DoubleEndedIterator<Item = &SegmentRef> {
        let is_unloaded =
            |entry: &&SegmentRef| !self.loaded.contains(&entry.name) && !self.is_expired(entry);
        self.head.segments.iter().filter(is_unloaded)
    }

    fn is_expired(&self, entry: &SegmentRef) -> bool {
        !entry.is_permanent && entry.newest_key < self.head.floor
    }

    /// Returns the segment to load next, newest first.
    pub(crate) fn next_unloaded(&self) -> Option<SegmentName> {
        self.unloaded().next_back().map(|entry| entry.name)
    }

    /// Returns an expired segment whose object still exists.
    pub(crate) fn next_expired(&self) -> Option<SegmentName> {
        let is_due =
            |entry: &&SegmentRef| self.is_expired(entry) && !self.deleted.contains(&entry.name);
        self.head
            .segments
            .iter()
            .find(is_due)
            .map(|entry| entry.name)
    }

    /// Adds the records of a segment.
    pub(crate) fn load(&mut self, name: SegmentName, records: Vec<ClaimRecord>) {
        self.loaded.insert(name);
        for record in records {
            self.records
                .entry(Arc::clone(&record.key))
                .or_insert(record);
        }
    }

    /// Returns whether a segment is listed and could not be expired.
    pub(crate) fn needs_segment(&self, name: SegmentName) -> bool {
        let mut unloaded = self.unloaded();
        unloaded.any(|entry| entry.name == name)
    }

    /// Notes that the object of an expired segment is gone.
    pub(crate) fn mark_deleted(&mut self, name: SegmentName) {
        self.deleted.insert(name);
    }

    /// Plans a segment of the head's finished records, once there are enough of them.
    pub(crate) fn plan_segment<F>(
        &self,
        now: MilliTime,
        settings: &ClaimSettings,
        key_time: F,
        name: SegmentName,
    ) -> Option<SegmentPlan>
    where
        F: Fn(&str) -> Option<MilliTime>,
    {
        if self.head_weight < settings.seal_bytes {
            return None;
        }
        let open_since = now - settings.open_limit_ms;
        let is_finished = |record: &&ClaimRecord| {
            record.state != ClaimState::Open || record.claimed_at < open_since
        };
        let records = self.head_records().filter(is_finished).cloned();
        let records: Vec<ClaimRecord> = records.collect();
        let weight: usize = records.iter().map(ClaimRecord::weight).sum();
        if weight < settings.seal_bytes / 2 {
            return None;
        }
        let times = records.iter().map(|record| key_time(&record.key));
        let entry = SegmentRef {
            name,
            newest_claim: records.iter().map(|record| record.claimed_at).max()?,
            newest_key: times.clone().flatten().max().unwrap_or_default(),
            is_permanent: times.clone().any(|time| time.is_none()),
        };
        let value = encode_records(&records);
        let keys = records.into_iter().map(|record| record.key).collect();
        Some(SegmentPlan { entry, keys, value })
    }

    /// Returns the next head: this one with the records of a draft, less those of a segment.
    pub(crate) fn next_head(&self, draft: &ClaimDraft, sealed: Option<&SegmentPlan>) -> ClaimHead {
        let leaves = |key: &Arc<str>| {
            draft.records.contains_key(key) || sealed.is_some_and(|plan| plan.keys.contains(key))
        };
        let kept = self.head_records().filter(|record| !leaves(&record.key));
        let records = kept.chain(draft.records.values()).cloned().collect();
        let is_listed = |entry: &&SegmentRef| !self.deleted.contains(&entry.name);
        let entries = self.head.segments.iter().filter(is_listed).cloned();
        let entries = entries.chain(sealed.map(|plan| plan.entry.clone()));
        ClaimHead {
            sequence: self.head.sequence + 1,
            floor: draft.floor,
            stamp: draft.stamp,
            timeless_keys: self.head.timeless_keys + draft.timeless_keys,
            segments: entries.collect(),
            records,
        }
    }

    /// Takes the head that was written.
    pub(crate) fn commit(
        &mut self,
        version: StoreVersion,
        head: ClaimHead,
        sealed: Option<SegmentPlan>,
    ) {
        let floor_rose = head.segments.len() < self.head.segments.len();
        if let Some(plan) = sealed {
            self.loaded.insert(plan.entry.name);
            for key in &plan.keys {
                self.head_keys.remove(key);
            }
        }
        self.adopt(Some(version), head);
        if floor_rose {
            self.forget_expired();
        }
    }

    fn forget_expired(&mut self) {
        let floor = self.head.floor;
        self.records.retain(|key, _| {
            let time = crate::claim_key::key_time(key);
            time.is_none_or(|time| time >= floor) || self.head_keys.contains(key)
        });
        let listed: BTreeSet<SegmentName> =
            self.head.segments.iter().map(|entry| entry.name).collect();
        self.loaded.retain(|name| listed.contains(name));
    }

    fn head_records(&self) -> impl Iterator<Item = &ClaimRecord> {
        self.head_keys
            .iter()
            .filter_map(|key| self.records.get(key))
    }

    fn insert_head_record(&mut self, record: ClaimRecord) {
        self.head_weight += record.weight();
        self.head_keys.insert(Arc::clone(&record.key));
        self.records.insert(Arc::clone(&record.key), record);
    }
}
