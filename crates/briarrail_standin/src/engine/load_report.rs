//! Reports of load.

use briarrail_model::MilliTime;
use serde::{Deserialize, Serialize};

/// The load of an engine at some moment before it is asked for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Streams that run.
    pub streams: usize,
    /// Requests that wait for a place.
    pub queued: usize,
    /// Streams that can run at once.
    pub capacity: usize,
    /// Unix time of the observation.
    pub at_ms: MilliTime,
}
