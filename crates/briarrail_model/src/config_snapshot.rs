//! Versioned snapshot of the configuration tables.

use serde::{Deserialize, Serialize};

use crate::TableSet;

/// The routes and pools tables after an accepted edit.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// Sequence number of the last accepted edit; 0 before the first edit.
    pub sequence: u64,
    /// Rows of both tables.
    pub tables: TableSet,
}
