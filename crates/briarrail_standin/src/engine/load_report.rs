//! Load reports.

use briarrail_model::MilliTime;
use serde::{Deserialize, Serialize};

/// Load of an engine, reported with a delay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Running streams.
    pub streams: usize,
    /// Queued requests.
    pub queued: usize,
    /// Maximum number of concurrent streams.
    pub capacity: usize,
    /// Unix time at which the load was measured.
    pub at_ms: MilliTime,
}
