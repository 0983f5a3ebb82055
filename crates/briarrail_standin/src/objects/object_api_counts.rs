//! Counts of calls to the object API.

use serde::{Deserialize, Serialize};

/// Calls that the object API took since its start, a waiting watch counted as one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ObjectApiCounts {
    /// Reads of objects and lists.
    pub reads: u64,
    /// Writes and deletions, also those whose condition did not hold.
    pub writes: u64,
    /// Writes whose condition did not hold.
    pub conflicts: u64,
    /// Watches.
    pub watches: u64,
    /// Calls refused by an outage or by the rate limit.
    pub refused: u64,
    /// Writes that took effect and whose reply was lost.
    pub lost_replies: u64,
}
