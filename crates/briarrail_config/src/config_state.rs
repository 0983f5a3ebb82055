//! The state that accepted edits lead to.

use briarrail_model::{ConfigSnapshot, PoolRow, RouteRow, RowStamp, TableSet};

use crate::{ConfigEdit, EditError, EditErrorKind, RowChange};

/// Both tables, and the sequence number of the edit that led to them.
///
/// The rows of each table are kept in the order of their names.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigState {
    snapshot: ConfigSnapshot,
}

impl ConfigState {
    /// Takes over a snapshot.
    #[must_use]
    pub fn new(mut snapshot: ConfigSnapshot) -> Self {
        let tables = &mut snapshot.tables;
        tables
            .routes
            .sort_by(|left, right| left.name.cmp(&right.name));
        tables
            .pools
            .sort_by(|left, right| left.name.cmp(&right.name));
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

    /// Returns both tables with their sequence number, without a copy.
    #[must_use]
    pub fn into_snapshot(self) -> ConfigSnapshot {
        self.snapshot
    }

    /// Applies the next edit, wholly or not at all.
    ///
    /// # Errors
    ///
    /// Refuses an edit that does not follow the sequence number, that expects another version of
    /// a row, or that would make the tables invalid.
    pub fn apply(&mut self, edit: &ConfigEdit) -> Result<(), EditError> {
        self.apply_all(std::slice::from_ref(edit))
    }

    /// Applies a run of edits, wholly or not at all; the tables are validated once.
    ///
    /// # Errors
    ///
    /// Refuses the run as [`apply`](Self::apply) does.
    pub fn apply_all(&mut self, edits: &[ConfigEdit]) -> Result<(), EditError> {
        let mut snapshot = self.snapshot.clone();
        for edit in edits {
            apply_edit(&mut snapshot, edit)?;
        }
        snapshot.tables.validate().map_err(EditErrorKind::Invalid)?;
        self.snapshot = snapshot;
        Ok(())
    }
}

fn apply_edit(snapshot: &mut ConfigSnapshot, edit: &ConfigEdit) -> Result<(), EditErrorKind> {
    let current = snapshot.sequence;
    if edit.sequence != current + 1 {
        return Err(EditErrorKind::OutOfSequence {
            current,
            found: edit.sequence,
        });
    }
    let stamp = edit_stamp(edit);
    for change in &edit.changes {
        check_version(&snapshot.tables, change)?;
        apply_change(&mut snapshot.tables, change, &stamp);
    }
    snapshot.sequence = edit.sequence;
    Ok(())
}

fn edit_stamp(edit: &ConfigEdit) -> RowStamp {
    RowStamp {
        version: edit.sequence,
        edited_by: edit.editor.clone(),
        edited_at_ms: edit.at_ms,
    }
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

fn current_stamp(tables: &TableSet, change: &RowChange) -> RowStamp {
    let stamp = match change.table() {
        "routes" => find(&tables.routes, change.name(), route_name)
            .ok()
            .map(|index| &tables.routes[index].stamp),
        _ => find(&tables.pools, change.name(), pool_name)
            .ok()
            .map(|index| &tables.pools[index].stamp),
    };
    stamp.cloned().unwrap_or_default()
}

fn apply_change(tables: &mut TableSet, change: &RowChange, stamp: &RowStamp) {
    match change {
        RowChange::PutRoute { row, .. } => {
            let row = RouteRow {
                stamp: stamp.clone(),
                ..row.clone()
            };
            put_row(&mut tables.routes, row, route_name);
        }
        RowChange::PutPool { row, .. } => {
            let row = PoolRow {
                stamp: stamp.clone(),
                ..row.clone()
            };
            put_row(&mut tables.pools, row, pool_name);
        }
        RowChange::DeleteRoute { name, .. } => delete_row(&mut tables.routes, name, route_name),
        RowChange::DeletePool { name, .. } => delete_row(&mut tables.pools, name, pool_name),
    }
}

fn route_name(row: &RouteRow) -> &str {
    &row.name
}

fn pool_name(row: &PoolRow) -> &str {
    &row.name
}

/// Returns the index of the row with a name, or the index at which it would stand.
fn find<R>(rows: &[R], name: &str, name_of: fn(&R) -> &str) -> Result<usize, usize> {
    rows.binary_search_by(|row| name_of(row).cmp(name))
}

fn put_row<R>(rows: &mut Vec<R>, row: R, name_of: fn(&R) -> &str) {
    match find(rows, name_of(&row), name_of) {
        Ok(index) => rows[index] = row,
        Err(index) => rows.insert(index, row),
    }
}

fn delete_row<R>(rows: &mut Vec<R>, name: &str, name_of: fn(&R) -> &str) {
    if let Ok(index) = find(rows, name, name_of) {
        rows.remove(index);
    }
}
