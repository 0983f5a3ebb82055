//! Reports of chat load.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{CallOutcome, LatencySummary};

/// What came of a chat load.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Time from the first request to the end of the last answer, in seconds.
    pub elapsed_s: f64,
    /// Requests that ended.
    pub requests: u64,
    /// Requests by their outcomes.
    pub outcomes: BTreeMap<CallOutcome, u64>,
    /// Requests that ended, a second.
    pub requests_per_s: f64,
    /// Events received, a second.
    pub events_per_s: f64,
    /// Time from the request to its first event.
    pub first_event: LatencySummary,
    /// Time between events.
    pub gap: LatencySummary,
    /// Part of the prompt tokens that were found in a prefix cache.
    pub cache_reuse: f64,
    /// Answers by the target that gave them.
    pub targets: BTreeMap<String, u64>,
    /// Answers of the busiest target over the mean of all that answered.
    pub skew: f64,
    /// Answers of each chat by the target that gave them; left out of the JSON form.
    #[serde(skip)]
    pub placements: BTreeMap<String, BTreeMap<String, u64>>,
    /// First defects of answers, for the reader.
    pub defects: Vec<String>,
}
