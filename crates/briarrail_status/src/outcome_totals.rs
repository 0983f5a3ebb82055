//! Outcomes since the router started.

use serde::{Deserialize, Serialize};

/// Requests by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct OutcomeTotals {
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that were not run.
    pub not_run: u64,
    /// Requests of which nobody can say whether they were run.
    pub unknown: u64,
}
