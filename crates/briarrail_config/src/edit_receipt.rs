//! What is known of a submitted edit.

use serde::{Deserialize, Serialize};

use crate::EditId;

/// Proof that an edit was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditReceipt {
    /// Identifier of the edit.
    pub id: EditId,
    /// Sequence number that the edit led to.
    pub sequence: u64,
}

/// Result of looking an edit up by its identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EditLookup {
    /// The edit was accepted.
    Accepted(EditReceipt),
    /// No edit from this sequence number on has the identifier; earlier edits are not kept.
    NotFound {
        /// Sequence number of the oldest edit that was looked at.
        oldest_sequence: u64,
    },
}
