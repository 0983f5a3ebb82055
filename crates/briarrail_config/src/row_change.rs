//! Changes to single rows.

use briarrail_model::{PoolRow, RouteRow};
use serde::{Deserialize, Serialize};

/// Writes or deletes one row.
///
/// `expected` is the version of the row that the change is based on; 0 means that the row must not
/// exist.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum RowChange {
    /// Writes a row of the routes table.
    PutRoute {
        /// Version that the change is based on.
        expected: u64,
        /// The new row.
        row: RouteRow,
    },
    /// Writes a row of the pools table.
    PutPool {
        /// Version that the change is based on.
        expected: u64,
        /// The new row.
        row: PoolRow,
    },
    /// Deletes a row of the routes table.
    DeleteRoute {
        /// Version that the change is based on.
        expected: u64,
        /// Name of the row.
        name: String,
    },
    /// Deletes a row of the pools table.
    DeletePool {
        /// Version that the change is based on.
        expected: u64,
        /// Name of the row.
        name: String,
    },
}

impl RowChange {
    /// Returns the table of the row: `routes` or `pools`.
    #[must_use]
    pub fn table(&self) -> &'static str {
        match self {
            Self::PutRoute { .. } | Self::DeleteRoute { .. } => "routes",
            Self::PutPool { .. } | Self::DeletePool { .. } => "pools",
        }
    }

    /// Returns the name of the row.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::PutRoute { row, .. } => &row.name,
            Self::PutPool { row, .. } => &row.name,
            Self::DeleteRoute { name, .. } | Self::DeletePool { name, .. } => name,
        }
    }

    /// Returns the version of the row that the change is based on.
    #[must_use]
    pub fn expected(&self) -> u64 {
        match self {
            Self::PutRoute { expected, .. }
            | Self::PutPool { expected, .. }
            | Self::DeleteRoute { expected, .. }
            | Self::DeletePool { expected, .. } => *expected,
        }
    }
}
