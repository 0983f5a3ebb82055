//! An accepted state of both tables.

use serde::{Deserialize, Serialize};

use crate::TableSet;

/// Both tables as of one accepted edit.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// Sequence number of the last edit; 0 before the first.
    pub sequence: u64,
    /// Rows of both tables.
    pub tables: TableSet,
}
