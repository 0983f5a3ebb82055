//! What the next commit of a bucket will change.

use std::collections::BTreeMap;
use std::sync::Arc;

use briarrail_model::MilliTime;

use crate::claim_book::ClaimBook;
use crate::claim_record::{ClaimRecord, ClaimState};
use crate::{ClaimMessageId, ClaimSettings};

/// What the next commit of a bucket will change.
#[derive(Debug, Clone)]
pub(crate) struct ClaimDraft {
    pub(crate) records: BTreeMap<Arc<str>, ClaimRecord>,
    /// Reports that the commit records.
    pub(crate) reports: Vec<ClaimMessageId>,
    pub(crate) timeless_keys: u32,
    pub(crate) floor: MilliTime,
    pub(crate) stamp: MilliTime,
    pub(crate) weight: usize,
}

impl ClaimDraft {
    /// Makes an empty draft.
    pub(crate) fn new(book: &ClaimBook, now: MilliTime, settings: &ClaimSettings) -> Self {
        Self {
            records: BTreeMap::new(),
            reports: Vec::new(),
            timeless_keys: 0,
            floor: book.floor_at(now, settings),
            stamp: book.stamp_at(now),
            weight: 0,
        }
    }

    /// Returns the record of a key as it will be after the commit.
    pub(crate) fn record<'a>(&'a self, book: &'a ClaimBook, key: &str) -> Option<&'a ClaimRecord> {
        self.records.get(key).or_else(|| book.record(key))
    }

    pub(crate) fn insert(&mut self, record: ClaimRecord) {
        self.weight += record.weight();
        self.records.insert(Arc::clone(&record.key), record);
    }

    /// Changes the state of a record.
    pub(crate) fn set_state(&mut self, record: &ClaimRecord, state: ClaimState) {
        let mut record = record.clone();
        record.state = state;
        self.insert(record);
    }
}
