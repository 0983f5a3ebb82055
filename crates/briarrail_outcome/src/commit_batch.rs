//! Changes of one commit.

use std::collections::BTreeMap;
use std::sync::Arc;

use briarrail_model::MilliTime;

use crate::bucket_cache::BucketCache;
use crate::claim_record::{ClaimRecord, ClaimState};
use crate::{ClaimMessageId, ClaimSettings};

/// Changes that one commit of a bucket will make.
#[derive(Debug, Clone)]
pub(crate) struct CommitBatch {
    pub(crate) records: BTreeMap<Arc<str>, ClaimRecord>,
    /// Reports to acknowledge once the commit has succeeded.
    pub(crate) reports: Vec<ClaimMessageId>,
    pub(crate) timeless_keys: u32,
    pub(crate) min_key_time: MilliTime,
    pub(crate) commit_time: MilliTime,
    pub(crate) approx_bytes: usize,
}

impl CommitBatch {
    /// Creates an empty batch.
    pub(crate) fn new(cache: &BucketCache, now: MilliTime, settings: &ClaimSettings) -> Self {
        Self {
            records: BTreeMap::new(),
            reports: Vec::new(),
            timeless_keys: 0,
            min_key_time: cache.min_key_time_at(now, settings),
            commit_time: cache.commit_time_at(now),
            approx_bytes: 0,
        }
    }

    /// Returns the record of a key as it will be after the commit.
    pub(crate) fn record<'a>(
        &'a self,
        cache: &'a BucketCache,
        key: &str,
    ) -> Option<&'a ClaimRecord> {
        self.records.get(key).or_else(|| cache.record(key))
    }

    pub(crate) fn insert(&mut self, record: ClaimRecord) {
        self.approx_bytes += record.approx_bytes();
        self.records.insert(Arc::clone(&record.key), record);
    }

    /// Adds a copy of a record with a new state.
    pub(crate) fn set_state(&mut self, record: &ClaimRecord, state: ClaimState) {
        let mut record = record.clone();
        record.state = state;
        self.insert(record);
    }
}
