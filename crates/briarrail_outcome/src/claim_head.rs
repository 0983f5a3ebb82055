//! The head object of a bucket and its segments.

use briarrail_model::MilliTime;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ClaimBucket;
use crate::claim_record::ClaimRecord;

/// Name of a segment; no two writes ever use the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct SegmentName {
    /// Sequence number of the head at the time of the write.
    pub(crate) sequence: u64,
    /// Process that wrote the segment.
    pub(crate) writer: u64,
    /// Count of the writer's segments.
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

/// Entry of a sealed segment in the head.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SegmentRef {
    pub(crate) name: SegmentName,
    /// Latest grant in the segment.
    pub(crate) newest_claim: MilliTime,
    /// Latest key time in the segment.
    pub(crate) newest_key: MilliTime,
    /// Whether the segment holds keys without a time, and is kept for ever.
    pub(crate) is_permanent: bool,
}

/// The head object of a bucket; each commit replaces it on the condition of its version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimHead {
    /// Number of the commit.
    pub(crate) sequence: u64,
    /// Keys made before this time are refused.
    pub(crate) floor: MilliTime,
    /// Latest grant of the bucket.
    pub(crate) stamp: MilliTime,
    /// Keys without a time in the bucket.
    pub(crate) timeless_keys: u32,
    /// Sealed segments, oldest first.
    pub(crate) segments: Vec<SegmentRef>,
    /// Records that are not sealed.
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
    // An empty value in place of a failure would forget claims.
    let encoded = rmp_serde::to_vec(value).expect("records are always encodable");
    encoded.into()
}
