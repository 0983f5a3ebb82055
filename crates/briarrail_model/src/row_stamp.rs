//! Version and editor of a row.

use serde::{Deserialize, Serialize};

use crate::MilliTime;

/// The version of a row, and who made it when.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowStamp {
    /// Sequence number of the edit that wrote the row.
    pub version: u64,
    /// Operator who made the edit.
    pub edited_by: String,
    /// Unix time of the edit, in milliseconds.
    pub edited_at_ms: MilliTime,
}
