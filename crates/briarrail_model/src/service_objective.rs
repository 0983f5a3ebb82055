//! Service-level objectives of a pool.

use serde::{Deserialize, Serialize};

use crate::MilliDuration;

/// What the callers of a pool are promised.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceObjective {
    /// Time to the first token or byte, in milliseconds.
    pub first_token_ms: MilliDuration,
    /// Time between tokens, in milliseconds.
    pub token_gap_ms: MilliDuration,
    /// Part of the requests that meet the times, such as 0.95.
    pub latency_goal: f64,
    /// Part of the requests that are answered, such as 0.999.
    pub answered_goal: f64,
    /// Part of the at-most-once requests whose outcome is known, such as 0.9999.
    pub known_goal: f64,
}

impl Default for ServiceObjective {
    fn default() -> Self {
        Self {
            first_token_ms: MilliDuration::from_millis(1_600),
            token_gap_ms: MilliDuration::from_millis(44),
            latency_goal: 0.95,
            answered_goal: 0.999,
            known_goal: 0.9999,
        }
    }
}
