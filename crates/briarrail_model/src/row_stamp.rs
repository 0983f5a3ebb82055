//! Version stamp of a row.

use serde::{Deserialize, Serialize};

use crate::MilliTime;

/// Version, author and time of the last edit of a row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowStamp {
    /// Sequence number of the edit.
    pub version: u64,
    /// Operator who made the edit.
    pub edited_by: String,
    /// Unix time of the edit, in milliseconds.
    pub edited_at_ms: MilliTime,
}
