//! What a route says of its calls.

use serde::{Deserialize, Serialize};

/// Whether a call may run more than once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallSemantics {
    /// A repeat does no harm, so a failed call may be retried elsewhere.
    #[default]
    Idempotent,
    /// The call runs at most once.
    AtMostOnce,
}

/// What to do with an at-most-once call that carries no idempotency key.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MissingKeyPolicy {
    /// The call is refused.
    #[default]
    Refuse,
    /// The call is sent once, and a caller's repeat counts as another call.
    SendOnce,
}

/// How a call ranks under overload.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum CallPriority {
    /// The call may wait; it is the first to be held back.
    Deferrable,
    /// Somebody waits for the answer.
    #[default]
    Interactive,
}
