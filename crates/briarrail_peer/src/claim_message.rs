//! Messages between an entry router and the owner of a claim bucket.

use briarrail_model::{MilliDuration, StableHash};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Asks the owner of a bucket to make a claim on an idempotency key durable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Customer and idempotency key, joined by the sender.
    pub key: String,
    /// Hash of method, path and body.
    pub body_hash: StableHash,
    /// Name of the entry router's host.
    pub router: String,
    /// Identifier of this attempt; only its sender may send the request to a target.
    pub attempt_id: u128,
    /// Time that the sender waits for the reply, in milliseconds from the receipt.
    pub wait_ms: MilliDuration,
}

/// Answers a [`ClaimRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimReply {
    /// The claim is durable and belongs to this attempt: send once.
    Granted {
        /// Fencing number that goes to the target with the request.
        fencing: u64,
    },
    /// An earlier call with the key was answered.
    Answered(ClaimAnswer),
    /// An earlier call with the key was sent and has no recorded outcome.
    InDoubt,
    /// The key was used with another body.
    KeyReused,
    /// The key is older than the retention period.
    Expired,
    /// The key's time lies in the future, or keys of its kind are not accepted.
    KeyInvalid,
    /// The claim could not be made durable; nothing may be sent.
    Unavailable {
        /// Time after which a repeat makes sense, in milliseconds.
        retry_after_ms: u64,
    },
    /// The receiver does not own the bucket.
    NotOwner,
}

/// A recorded answer, small enough to be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type, if the answer had one.
    pub content_type: Option<String>,
    /// Body; none when it was too large to keep.
    pub body: Option<Bytes>,
}

/// How a granted claim ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// The target answered.
    Answered(ClaimAnswer),
    /// It is proved that the target did not run the request, or the grant was never used.
    NotRun,
    /// The target may have run the request.
    Unknown,
}

/// Reports the outcome of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimReport {
    /// Key of the claim.
    pub key: String,
    /// Attempt that the claim was granted to.
    pub attempt_id: u128,
    /// How it ended.
    pub outcome: ClaimOutcome,
}

/// Answers a [`ClaimReport`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportReply {
    /// The outcome is durable, or there is nothing to record.
    Recorded,
    /// The outcome could not be made durable; the report should be sent again.
    Unavailable,
    /// The receiver does not own the bucket.
    NotOwner,
}
