//! Service-level objectives (SLOs).

use serde::{Deserialize, Serialize};

use crate::MilliDuration;

/// Service-level objectives of a pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceObjective {
    /// Maximum time to the first token or byte, in milliseconds.
    pub first_token_ms: MilliDuration,
    /// Maximum time between two tokens, in milliseconds.
    pub token_gap_ms: MilliDuration,
    /// Fraction of first tokens and of token gaps that must be within these times, such as 0.95.
    pub latency_goal: f64,
    /// Fraction of the requests that must be answered, such as 0.999.
    pub answered_goal: f64,
    /// Fraction of the at-most-once requests whose outcome must be known, such as 0.9999.
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
