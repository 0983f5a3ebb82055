//! The state that accepted edits lead to.

use briarrail_model::{ConfigSnapshot, PoolRow, RouteRow, RowStamp, TableSet};

use crate::{ConfigEdit, EditError, EditErrorKind, RowChange};

/// Both tables, and the sequence number of the edit that led to them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigState {
    snapshot: ConfigSnapshot,
}

impl ConfigState {
    /// Takes over a snapshot.
    #[must_use]
    pub fn new(snapshot: ConfigSnapshot) -> Self {
        Self { snapshot }
    }

    /// Returns the sequence number of the last edit.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.snapshot.sequence
    }

    /// Returns both tables with their sequence number.
    #[must_use]
    pub fn snapshot(&self) -> &ConfigSnapshot {
        &self.snapshot
    }

    /// Applies the next edit, wholly or not at all.
    ///
    /// # Errors
    ///
    /// Refuses an edit that does not follow the sequence number, that expects another version of
    /// a row, or that would make the tables invalid.
    pub fn apply(&mut self, edit: &ConfigEdit) -> Result<(), EditError> {
        let current = self.sequence();
        if edit.sequence != current + 1 {
            let kind = EditErrorKind::OutOfSequence {
                current,
                found: edit.sequence,
            };
            return Err(kind.into());
        }
        let mut tables = self.snapshot.tables.clone();
        for change in &edit.changes {
            check_version(&tables, change)?;
            apply_change(&mut tables, change, &edit_stamp(edit));
        }
        tables.validate().map_err(EditErrorKind::Invalid)?;
        self.snapshot = ConfigSnapshot {
            sequence: edit.sequence,
            tables,
        };
        Ok(())
    }
}

fn edit_stamp(edit: &ConfigEdit) -> RowStamp {
    RowStamp {
        version: edit.sequence,
        edited_by: edit.editor.clone(),
        edited_at_ms: edit.at_ms,
    }
}

fn current_stamp(tables: &TableSet, change: &RowChange) -> RowStamp {
    let stamp = match change.table() {
        "routes" => tables.route(change.name()).map(|route| &route.stamp),
        _ => tables.pool(change.name()).map(|pool| &pool.stamp),
    };
    stamp.cloned().unwrap_or_default()
}

fn check_version(tables: &TableSet, change: &RowChange) -> Result<(), EditErrorKind> {
    let current = current_stamp(tables, change);
    if current.version == change.expected() {
        return Ok(());
    }
    Err(EditErrorKind::Outdated {
        table: change.table(),
        name: change.name().to_owned(),
        expected: change.expected(),
        current,
    })
}

fn apply_change(tables: &mut TableSet, change: &RowChange, stamp: &RowStamp) {
    match change {
        RowChange::PutRoute { row, .. } => {
            let row = RouteRow {
                stamp: stamp.clone(),
                ..row.clone()
            };
            tables.routes.retain(|route| route.name != row.name);
            tables.routes.push(row);
            tables
                .routes
                .sort_by(|left, right| left.name.cmp(&right.name));
        }
        RowChange::PutPool { row, .. } => {
            let row = PoolRow {
                stamp: stamp.clone(),
                ..row.clone()
            };
            tables.pools.retain(|pool| pool.name != row.name);
            tables.pools.push(row);
            tables
                .pools
                .sort_by(|left, right| left.name.cmp(&right.name));
        }
        RowChange::DeleteRoute { name, .. } => tables.routes.retain(|row| row.name != *name),
        RowChange::DeletePool { name, .. } => tables.pools.retain(|row| row.name != *name),
    }
}
