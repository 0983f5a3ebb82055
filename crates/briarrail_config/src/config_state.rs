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
        let sequence = self.snapshot.sequence;
        let mut undo = Vec::new();
        let result = self.apply_in_place(edits, &mut undo);
        if result.is_err() {
            for old in undo.into_iter().rev() {
                old.restore(&mut self.snapshot.tables);
            }
            self.snapshot.sequence = sequence;
        }
        result.map_err(EditError::from)
    }

    fn apply_in_place(
        &mut self,
        edits: &[ConfigEdit],
        undo: &mut Vec<OldRow>,
    ) -> Result<(), EditErrorKind> {
        for edit in edits {
            apply_edit(&mut self.snapshot, edit, undo)?;
        }
        let valid = self.snapshot.tables.validate();
        valid.map_err(EditErrorKind::Invalid)
    }
}

/// A row as it stood before a change, to take the change back.
enum OldRow {
    Route(String, Option<RouteRow>),
    Pool(String, Option<PoolRow>),
}

impl OldRow {
    fn restore(self, tables: &mut TableSet) {
        match self {
            Self::Route(_, Some(row)) => drop(put_row(&mut tables.routes, row, route_name)),
            Self::Route(name, None) => drop(delete_row(&mut tables.routes, &name, route_name)),
            Self::Pool(_, Some(row)) => drop(put_row(&mut tables.pools, row, pool_name)),
            Self::Pool(name, None) => drop(delete_row(&mut tables.pools, &name, pool_name)),
        }
    }
}

fn apply_edit(
    snapshot: &mut ConfigSnapshot,
    edit: &ConfigEdit,
    undo: &mut Vec<OldRow>,
) -> Result<(), EditErrorKind> {
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
        undo.push(apply_change(&mut snapshot.tables, change, &stamp));
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

fn apply_change(tables: &mut TableSet, change: &RowChange, stamp: &RowStamp) -> OldRow {
    let name = change.name().to_owned();
    match change {
        RowChange::PutRoute { row, .. } => {
            let row = RouteRow {
                stamp: stamp.clone(),
                ..row.clone()
            };
            OldRow::Route(name, put_row(&mut tables.routes, row, route_name))
        }
        RowChange::PutPool { row, .. } => {
            let row = PoolRow {
                stamp: stamp.clone(),
                ..row.clone()
            };
            OldRow::Pool(name, put_row(&mut tables.pools, row, pool_name))
        }
        RowChange::DeleteRoute { .. } => {
            let old = delete_row(&mut tables.routes, &name, route_name);
            OldRow::Route(name, old)
        }
        RowChange::DeletePool { .. } => {
            let old = delete_row(&mut tables.pools, &name, pool_name);
            OldRow::Pool(name, old)
        }
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

/// Writes a row, and returns the one that it replaces.
fn put_row<R>(rows: &mut Vec<R>, row: R, name_of: fn(&R) -> &str) -> Option<R> {
    match find(rows, name_of(&row), name_of) {
        Ok(index) => Some(std::mem::replace(&mut rows[index], row)),
        Err(index) => {
            rows.insert(index, row);
            None
        }
    }
}

/// Deletes a row, and returns it.
fn delete_row<R>(rows: &mut Vec<R>, name: &str, name_of: fn(&R) -> &str) -> Option<R> {
    let index = find(rows, name, name_of).ok()?;
    Some(rows.remove(index))
}
