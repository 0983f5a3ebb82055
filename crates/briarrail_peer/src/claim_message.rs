//! Messages between an entry router and the owner of a claim bucket.

use briarrail_model::{MilliDuration, StableHash};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Asks the owner of a bucket to make a claim on an idempotency key durable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Customer and idempotency key, joined by the sender.
    pub key: String,
    /// Hash of the method, the path and the body.
    pub body_hash: StableHash,
    /// Name of the entry router's host.
    pub router: String,
    /// Identifier of this attempt; only its sender may send the request to a target.
    pub attempt_id: u128,
    /// Time that the sender waits for the reply, in milliseconds from the receipt of the request.
    pub wait_ms: MilliDuration,
}

/// Answers a [`ClaimRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimReply {
    /// The claim is durable and belongs to this attempt, which may send the request once.
    Granted {
        /// Fencing token that is sent to the target with the request.
        fencing: u64,
    },
    /// An earlier call with the key was answered.
    Answered(ClaimAnswer),
    /// An earlier call with the key was sent, and its outcome is not recorded.
    InDoubt,
    /// The key was used before with another body.
    KeyReused,
    /// The key is older than the retention period.
    Expired,
    /// The time in the key lies in the future, or keys of its kind are not accepted.
    KeyInvalid,
    /// The claim could not be made durable; the request must not be sent.
    Unavailable {
        /// Time after which the sender may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The receiver does not own the bucket.
    NotOwner,
}

/// A recorded response of a target, which is returned to retries of the call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type, if the response had one.
    pub content_type: Option<String>,
    /// Body; `None` if it was too large to keep.
    pub body: Option<Bytes>,
}

/// How a granted claim ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// The target answered.
    Answered(ClaimAnswer),
    /// Provably the target did not run the request, or the grant was never used.
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
    /// Outcome of the claim.
    pub outcome: ClaimOutcome,
}

/// Answers a [`ClaimReport`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportReply {
    /// The outcome is durable, or there is nothing to record.
    Recorded,
    /// The outcome could not be made durable; the sender should retry the report.
    Unavailable,
    /// The receiver does not own the bucket.
    NotOwner,
}
