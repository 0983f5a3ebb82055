//! Receipts of accepted edits, and results of looking up an edit.

use serde::{Deserialize, Serialize};

use crate::EditId;

/// Confirms that an edit was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditReceipt {
    /// Identifier of the edit.
    pub id: EditId,
    /// Sequence number of the tables after the edit.
    pub sequence: u64,
}

/// Result of looking up an edit by its identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EditLookup {
    /// The edit was accepted.
    Accepted(EditReceipt),
    /// No edit from `oldest_sequence` on has the identifier; earlier edits are no longer stored.
    NotFound {
        /// Sequence number of the oldest edit that was searched.
        oldest_sequence: u64,
    },
}
