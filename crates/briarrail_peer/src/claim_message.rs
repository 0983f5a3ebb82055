//! Messages between an entry router and the owner of a claim bucket.

use briarrail_model::{MilliTime, StableHash};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Asks the owner of a bucket to make a claim on an idempotency key durable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Route, customer and key, joined by the sender.
    pub key: String,
    /// Hash of method, path and body.
    pub body_hash: StableHash,
    /// Name of the entry router's host.
    pub router: String,
    /// Identifier of this attempt; only its sender may send the request to a target.
    pub attempt_id: u128,
    /// Unix time at which the sender gives up.
    pub give_up_at_ms: MilliTime,
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

/// Reports the outcome of a granted claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimReport {
    /// Key of the claim.
    pub key: String,
    /// Attempt that the claim was granted to.
    pub attempt_id: u128,
    /// The answer; none when it is proved that the target did not run the request.
    pub answer: Option<ClaimAnswer>,
}
