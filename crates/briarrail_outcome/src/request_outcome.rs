//! The three outcomes of a request.

use serde::{Deserialize, Serialize};

/// The outcome of a request, as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "outcome", content = "reason", rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The complete response reached the caller.
    Answered,
    /// Provably no target ran the request.
    NotRun(NotRunReason),
    /// A target may have run the request, and there is no proof that it did not.
    Unknown(UnknownReason),
}

/// Why a request provably did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum NotRunReason {
    /// The request is malformed or too large.
    BadRequest,
    /// No route matches the request.
    NoRoute,
    /// The pool has no live target.
    NoTarget,
    /// Every target is at its limit, or the customer exceeds its share.
    Overloaded,
    /// The target refused the request before running it.
    TargetRefused,
    /// No target accepted a connection, so nothing was sent.
    Unreachable,
    /// The deadline passed before anything was sent.
    DeadlinePassed,
    /// The claim on the idempotency key could not be made durable.
    ClaimUnavailable,
    /// The idempotency key was used before with another body.
    KeyReused,
    /// The route requires an idempotency key and the request has none.
    KeyMissing,
    /// The idempotency key is older than the retention period.
    KeyExpired,
    /// The time in the idempotency key lies in the future, or its kind is not accepted.
    KeyInvalid,
    /// The router has no configuration yet.
    NotReady,
    /// The router is shutting down.
    Stopping,
}

/// Why it is unknown whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum UnknownReason {
    /// The connection failed after part of the request was sent.
    ConnectionLost,
    /// The deadline passed after part of the request was sent.
    DeadlinePassed,
    /// The response belonged to another request or was incomplete.
    BadAnswer,
    /// The target failed and did not state that it had not run the request.
    TargetFailed,
    /// An earlier call with the same key was sent, and its outcome was not recorded.
    EarlierCall,
}
