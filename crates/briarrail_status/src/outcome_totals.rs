//! Request counts by outcome.

use serde::{Deserialize, Serialize};

/// Number of requests by outcome since the router started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct OutcomeTotals {
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that were not executed.
    pub not_run: u64,
    /// Requests for which it is unknown whether they were executed.
    pub unknown: u64,
}
