//! Edits submitted by operators.

use std::collections::BTreeMap;

use briarrail_model::MilliTime;

use crate::update_plan::encode;
use crate::{ConfigEdit, EditErrorKind, EditId, RowChange};

/// A submitted edit that has not been accepted yet.
#[derive(Debug, Clone, PartialEq)]
pub struct EditRequest {
    /// Identifier of the edit; a resubmission uses the same one.
    pub id: EditId,
    /// Operator who makes the edit.
    pub editor: String,
    /// Unix time of the edit, in milliseconds.
    pub at_ms: MilliTime,
    /// Rows that the edit writes or deletes.
    pub changes: Vec<RowChange>,
}

impl EditRequest {
    /// Converts the request into the edit that is accepted with a sequence number.
    #[must_use]
    pub fn into_edit(self, sequence: u64) -> ConfigEdit {
        ConfigEdit {
            sequence,
            id: self.id,
            editor: self.editor,
            at_ms: self.at_ms,
            changes: self.changes,
        }
    }

    /// Validates the properties that do not depend on the tables.
    ///
    /// # Errors
    ///
    /// Fails when the edit changes no row, changes a row more than once, or writes a row that is
    /// too large.
    pub(crate) fn validate(&self, max_row_bytes: usize) -> Result<(), EditErrorKind> {
        if self.changes.is_empty() {
            return Err(EditErrorKind::Empty);
        }
        let mut counts = BTreeMap::<_, usize>::new();
        for change in &self.changes {
            check_size(change, max_row_bytes)?;
            *counts.entry((change.table(), change.name())).or_default() += 1;
        }
        let repeated = counts.into_iter().find(|&(_, found)| found > 1);
        repeated.map_or(Ok(()), |((table, name), found)| {
            Err(EditErrorKind::DuplicateRow {
                table,
                name: name.to_owned(),
                found,
            })
        })
    }
}

fn check_size(change: &RowChange, limit: usize) -> Result<(), EditErrorKind> {
    let bytes = encode(change).len();
    if bytes <= limit {
        return Ok(());
    }
    Err(EditErrorKind::TooLarge {
        table: change.table(),
        name: change.name().to_owned(),
        bytes,
        limit,
    })
}
