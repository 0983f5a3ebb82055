//! In-memory copy of a bucket.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use briarrail_model::MilliTime;
use bytes::Bytes;

use crate::claim_head::{ClaimHead, SegmentEntry, SegmentName, encode_records};
use crate::claim_record::{ClaimRecord, ClaimState};
use crate::commit_batch::CommitBatch;
use crate::{ClaimSettings, StoreVersion};

const SEGMENT_ENTRY_BYTES: usize = 48;

/// In-memory copy of a bucket as of one version of its head.
///
/// Holds the records of the head and of all loaded segments. Segments are loaded newest first, so
/// a cached record is the newest one of its key.
#[derive(Debug, Clone)]
pub(crate) struct BucketCache {
    version: Option<StoreVersion>,
    /// The head, without its records.
    head: ClaimHead,
    records: HashMap<Arc<str>, ClaimRecord>,
    /// Keys of the records that are stored in the head.
    head_keys: BTreeSet<Arc<str>>,
    head_bytes: usize,
    loaded: BTreeSet<SegmentName>,
    /// Segments whose objects were deleted; the next commit removes their entries.
    deleted: BTreeSet<SegmentName>,
}

/// Records to move from the head to a new segment.
#[derive(Debug, Clone)]
pub(crate) struct SegmentPlan {
    pub(crate) entry: SegmentEntry,
    pub(crate) keys: BTreeSet<Arc<str>>,
    pub(crate) value: Bytes,
}

impl BucketCache {
    /// Creates the cache of a head that was read; `version` is `None` if the head does not exist.
    pub(crate) fn new(version: Option<StoreVersion>, head: ClaimHead) -> Self {
        let mut cache = Self {
            version: None,
            head: ClaimHead::default(),
            records: HashMap::new(),
            head_keys: BTreeSet::new(),
            head_bytes: 0,
            loaded: BTreeSet::new(),
            deleted: BTreeSet::new(),
        };
        cache.replace_head(version, head);
        cache
    }

    /// Replaces the cached head by one that was read or written.
    ///
    /// If it lists a segment that isn't loaded, all cached records are dropped.
    pub(crate) fn replace_head(&mut self, version: Option<StoreVersion>, mut head: ClaimHead) {
        let is_unloaded = |entry: &SegmentEntry| !self.loaded.contains(&entry.name);
        if head.segments.iter().any(is_unloaded) {
            // A cached record may be older than the record of its key in the new segment.
            self.records.clear();
            self.loaded.clear();
        }
        for key in std::mem::take(&mut self.head_keys) {
            self.records.remove(&key);
        }
        self.deleted.clear();
        self.head_bytes = 0;
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

    /// Returns whether a claim may be added to a batch of size `batch_bytes`.
    pub(crate) fn has_room(&self, batch_bytes: usize, settings: &ClaimSettings) -> bool {
        let entry_bytes = self.head.segments.len() * SEGMENT_ENTRY_BYTES;
        let fits_head = self.head_bytes + entry_bytes + batch_bytes < settings.head_limit_bytes;
        fits_head && self.records.len() < settings.record_limit
    }

    pub(crate) fn record(&self, key: &str) -> Option<&ClaimRecord> {
        self.records.get(key)
    }

    /// Returns the time before which keys are refused as expired.
    ///
    /// It never decreases from one commit to the next.
    pub(crate) fn min_key_time_at(&self, now: MilliTime, settings: &ClaimSettings) -> MilliTime {
        self.head.min_key_time.max(now - settings.retention_ms)
    }

    /// Returns the time of a commit made now, which is the time of the claims that it grants.
    ///
    /// It never decreases from one commit to the next.
    pub(crate) fn commit_time_at(&self, now: MilliTime) -> MilliTime {
        self.head.commit_time.max(now)
    }

    /// Returns whether all segments that may contain a key are loaded.
    ///
    /// If so, a key that isn't cached has no record. A claim is never granted earlier than the
    /// time of its key minus the clock skew, so segments whose newest claim is older need not be
    /// loaded. A key without a time needs all segments.
    pub(crate) fn has_loaded_segments_for(
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

    fn unloaded(&self) -> impl DoubleEndedIterator<Item = &SegmentEntry> {
        let is_unloaded =
            |entry: &&SegmentEntry| !self.loaded.contains(&entry.name) && !self.is_expired(entry);
        self.head.segments.iter().filter(is_unloaded)
    }

    fn is_expired(&self, entry: &SegmentEntry) -> bool {
        !entry.is_permanent && entry.newest_key < self.head.min_key_time
    }

    /// Returns the newest segment that isn't loaded.
    pub(crate) fn next_unloaded(&self) -> Option<SegmentName> {
        self.unloaded().next_back().map(|entry| entry.name)
    }

    /// Returns an expired segment whose object has not been deleted.
    pub(crate) fn next_expired(&self) -> Option<SegmentName> {
        let is_due =
            |entry: &&SegmentEntry| self.is_expired(entry) && !self.deleted.contains(&entry.name);
        self.head
            .segments
            .iter()
            .find(is_due)
            .map(|entry| entry.name)
    }

    /// Adds the records of a segment; cached records take precedence.
    pub(crate) fn load(&mut self, name: SegmentName, records: Vec<ClaimRecord>) {
        self.loaded.insert(name);
        for record in records {
            self.records
                .entry(Arc::clone(&record.key))
                .or_insert(record);
        }
    }

    /// Returns whether a segment is listed, has not expired and isn't loaded.
    pub(crate) fn needs_segment(&self, name: SegmentName) -> bool {
        let mut unloaded = self.unloaded();
        unloaded.any(|entry| entry.name == name)
    }

    /// Records that the object of an expired segment no longer exists.
    pub(crate) fn mark_deleted(&mut self, name: SegmentName) {
        self.deleted.insert(name);
    }

    /// Returns a segment of the head's finished records, or `None` if there are too few.
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
        if self.head_bytes < settings.seal_bytes {
            return None;
        }
        let open_since = now - settings.open_limit_ms;
        let is_finished = |record: &&ClaimRecord| {
            record.state != ClaimState::Open || record.claimed_at < open_since
        };
        let records = self.head_records().filter(is_finished).cloned();
        let records: Vec<ClaimRecord> = records.collect();
        let sealed_bytes: usize = records.iter().map(ClaimRecord::approx_bytes).sum();
        if sealed_bytes < settings.seal_bytes / 2 {
            return None;
        }
        let times = records.iter().map(|record| key_time(&record.key));
        let entry = SegmentEntry {
            name,
            newest_claim: records.iter().map(|record| record.claimed_at).max()?,
            newest_key: times.clone().flatten().max().unwrap_or_default(),
            is_permanent: times.clone().any(|time| time.is_none()),
        };
        let value = encode_records(&records);
        let keys = records.into_iter().map(|record| record.key).collect();
        Some(SegmentPlan { entry, keys, value })
    }

    /// Returns the next head: adds the records of a batch and removes those of a new segment.
    pub(crate) fn next_head(
        &self,
        batch: &CommitBatch,
        sealed_segment: Option<&SegmentPlan>,
    ) -> ClaimHead {
        let is_removed = |key: &Arc<str>| {
            batch.records.contains_key(key)
                || sealed_segment.is_some_and(|plan| plan.keys.contains(key))
        };
        let kept = self
            .head_records()
            .filter(|record| !is_removed(&record.key));
        let records = kept.chain(batch.records.values()).cloned().collect();
        let is_listed = |entry: &&SegmentEntry| !self.deleted.contains(&entry.name);
        let entries = self.head.segments.iter().filter(is_listed).cloned();
        let entries = entries.chain(sealed_segment.map(|plan| plan.entry.clone()));
        ClaimHead {
            sequence: self.head.sequence + 1,
            min_key_time: batch.min_key_time,
            commit_time: batch.commit_time,
            timeless_keys: self.head.timeless_keys + batch.timeless_keys,
            segments: entries.collect(),
            records,
        }
    }

    /// Applies a commit whose write succeeded.
    pub(crate) fn apply_commit(
        &mut self,
        version: StoreVersion,
        head: ClaimHead,
        sealed_segment: Option<SegmentPlan>,
    ) {
        let has_fewer_segments = head.segments.len() < self.head.segments.len();
        if let Some(plan) = sealed_segment {
            self.loaded.insert(plan.entry.name);
            for key in &plan.keys {
                self.head_keys.remove(key);
            }
        }
        self.replace_head(Some(version), head);
        if has_fewer_segments {
            self.evict_expired();
        }
    }

    fn evict_expired(&mut self) {
        let min_key_time = self.head.min_key_time;
        self.records.retain(|key, _| {
            let time = crate::claim_key::key_time(key);
            time.is_none_or(|time| time >= min_key_time) || self.head_keys.contains(key)
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
        self.head_bytes += record.approx_bytes();
        self.head_keys.insert(Arc::clone(&record.key));
        self.records.insert(Arc::clone(&record.key), record);
    }
}
