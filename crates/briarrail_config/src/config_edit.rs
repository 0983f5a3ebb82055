//! Accepted edits.

use briarrail_model::MilliTime;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::RowChange;

/// Identifies an edit, so that a client can find out after a lost reply whether it was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EditId(pub Uuid);

/// One accepted edit of the tables, as stored in the head object and exchanged between routers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigEdit {
    /// Sequence number of the tables after the edit.
    pub sequence: u64,
    /// Identifier of the edit.
    pub id: EditId,
    /// Operator who made the edit.
    pub editor: String,
    /// Unix time of the edit, in milliseconds.
    pub at_ms: MilliTime,
    /// Rows that the edit writes or deletes.
    pub changes: Vec<RowChange>,
}
