//! Accepted edits.

use briarrail_model::MilliTime;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::RowChange;

/// Identifies an edit, so that its editor recognises it after a lost reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EditId(pub Uuid);

/// One edit of the tables, as the head object and the routers' exchange carry it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigEdit {
    /// Sequence number that the edit leads to.
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
