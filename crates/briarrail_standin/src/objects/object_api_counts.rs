//! Request counts of the object API.

use serde::{Deserialize, Serialize};

/// Requests since the object API was started; each long-polling watch request counts once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ObjectApiCounts {
    /// Reads of objects and listings.
    pub reads: u64,
    /// Writes and deletions, including those whose condition was not met.
    pub writes: u64,
    /// Writes and deletions whose condition was not met.
    pub conflicts: u64,
    /// Watch requests.
    pub watches: u64,
    /// Requests rejected by an outage or by the rate limit.
    pub refused: u64,
    /// Writes that took effect but whose response was dropped.
    pub lost_replies: u64,
}
