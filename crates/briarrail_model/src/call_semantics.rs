//! Settings of a route for its calls.

use serde::{Deserialize, Serialize};

/// Whether a call may be executed more than once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallSemantics {
    /// Repeated execution is harmless, so a failed call may be retried on another target.
    #[default]
    Idempotent,
    /// The call is executed at most once.
    AtMostOnce,
}

/// How to handle an at-most-once call without an idempotency key.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MissingKeyPolicy {
    /// Refuse the call.
    #[default]
    Refuse,
    /// The call is sent once. If the caller repeats it, the repeat is treated as a separate call.
    SendOnce,
}

/// Priority of a call under overload.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum CallPriority {
    /// The call tolerates a delay and is held back first.
    Deferrable,
    /// A user is waiting for the answer.
    #[default]
    Interactive,
}
