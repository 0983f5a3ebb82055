//! Stored format of a bucket: its head object and its segments.

use briarrail_model::MilliTime;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ClaimBucket;
use crate::claim_record::ClaimRecord;

/// Name of a segment; each write attempt uses a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct SegmentName {
    /// Sequence number of the head when the segment was written.
    pub(crate) sequence: u64,
    /// Random id of the process that wrote the segment.
    pub(crate) writer: u64,
    /// Number of the write attempt, counted from the creation of the bucket owner.
    pub(crate) serial: u64,
}

impl SegmentName {
    /// Returns the object key of the segment.
    pub(crate) fn object_key(&self, bucket: ClaimBucket) -> String {
        let Self {
            sequence,
            writer,
            serial,
        } = self;
        format!("claims/{}/seg/{sequence}-{writer:x}-{serial}", bucket.0)
    }
}

/// Entry of a segment in the head.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SegmentEntry {
    pub(crate) name: SegmentName,
    /// Latest claim time of its records.
    pub(crate) newest_claim: MilliTime,
    /// Latest time of its keys.
    pub(crate) newest_key: MilliTime,
    /// Whether the segment contains keys without a time and so never expires.
    pub(crate) is_permanent: bool,
}

/// The head object of a bucket; each commit replaces it by a write conditional on its version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimHead {
    /// Sequence number of the commit.
    pub(crate) sequence: u64,
    /// Keys created before this time are refused as expired; never decreases.
    #[serde(rename = "floor")]
    pub(crate) min_key_time: MilliTime,
    /// Time of the commit and of the claims that it grants; never decreases.
    #[serde(rename = "stamp")]
    pub(crate) commit_time: MilliTime,
    /// Number of keys without a time in the bucket.
    pub(crate) timeless_keys: u32,
    /// Segments, oldest first.
    pub(crate) segments: Vec<SegmentEntry>,
    /// Records that are not in a segment.
    pub(crate) records: Vec<ClaimRecord>,
}

impl ClaimHead {
    pub(crate) fn decode(value: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(value).ok()
    }

    pub(crate) fn encode(&self) -> Bytes {
        encode(self)
    }
}

pub(crate) fn encode_records(records: &[ClaimRecord]) -> Bytes {
    encode(records)
}

pub(crate) fn decode_records(value: &[u8]) -> Option<Vec<ClaimRecord>> {
    rmp_serde::from_slice(value).ok()
}

fn encode<T>(value: &T) -> Bytes
where
    T: Serialize + ?Sized,
{
    // Panics rather than write an empty value on failure, which would lose claims.
    let encoded = rmp_serde::to_vec(value).expect("records are always encodable");
    encoded.into()
}
