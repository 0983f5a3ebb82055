//! The three outcomes of a request.

use serde::{Deserialize, Serialize};

/// What a caller is told of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "outcome", content = "reason", rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The whole answer reached the caller.
    Answered,
    /// It is proved that no target ran the request.
    NotRun(NotRunReason),
    /// A target may have run the request, and no proof came back.
    Unknown(UnknownReason),
}

/// The proof that a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum NotRunReason {
    /// The request was malformed, too large, or matched no route.
    BadRequest,
    /// No route takes the request.
    NoRoute,
    /// The pool has no live target.
    NoTarget,
    /// Every target is at its bound, or the customer is over its share.
    Overloaded,
    /// The target refused before running.
    TargetRefused,
    /// No connection to a target could be made, so nothing was sent.
    Unreachable,
    /// The deadline passed before anything was sent.
    DeadlinePassed,
    /// The claim on the idempotency key could not be made durable.
    ClaimUnavailable,
    /// The key was used before with another body.
    KeyReused,
    /// The route wants an idempotency key and the request has none.
    KeyMissing,
    /// The key is older than the retention period.
    KeyExpired,
    /// The key's time lies in the future, or its kind is not accepted.
    KeyInvalid,
    /// The router has no configuration yet.
    NotReady,
    /// The router stops.
    Stopping,
}

/// Why nobody can say whether a request was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum UnknownReason {
    /// The connection broke after something was sent.
    ConnectionLost,
    /// The deadline passed after something was sent.
    DeadlinePassed,
    /// The answer did not belong to the request or was not whole.
    BadAnswer,
    /// The target failed without proof that it did not run the request.
    TargetFailed,
    /// An earlier call with the key was sent, and its outcome was not recorded.
    EarlierCall,
}
