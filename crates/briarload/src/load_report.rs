//! Report of a chat load.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{CallOutcome, LatencySummary};

/// Results of a chat load.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Time from the first request to the end of the last answer, in seconds.
    pub elapsed_s: f64,
    /// Number of finished requests.
    pub requests: u64,
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<CallOutcome, u64>,
    /// Finished requests per second.
    pub requests_per_s: f64,
    /// Received events per second.
    pub events_per_s: f64,
    /// Time from the request to its first event.
    pub first_event: LatencySummary,
    /// Time between events.
    pub gap: LatencySummary,
    /// Fraction of the prompt tokens that were found in a prefix cache.
    pub cache_reuse: f64,
    /// Number of answers by target.
    pub targets: BTreeMap<String, u64>,
    /// Answers of the busiest target, divided by the mean of all targets that answered.
    pub skew: f64,
    /// Number of answers by chat and target; omitted from JSON.
    #[serde(skip)]
    pub placements: BTreeMap<String, BTreeMap<String, u64>>,
    /// Descriptions of the first few defects.
    pub defects: Vec<String>,
}
