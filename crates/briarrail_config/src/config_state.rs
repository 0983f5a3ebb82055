//! State of the tables after the accepted edits.

use briarrail_model::{ConfigSnapshot, PoolRow, RouteRow, RowStamp, TableSet};

use crate::{ConfigEdit, EditError, EditErrorKind, RowChange};

/// Both tables, and the sequence number of the last edit applied to them.
///
/// The rows of each table are sorted by name.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigState {
    snapshot: ConfigSnapshot,
}

impl ConfigState {
    /// Creates the state from a snapshot.
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

    /// Converts into both tables with their sequence number.
    #[must_use]
    pub fn into_snapshot(self) -> ConfigSnapshot {
        self.snapshot
    }

    /// Applies the next edit atomically.
    ///
    /// # Errors
    ///
    /// Fails when the edit is not the next one in sequence, expects another version of a row, or
    /// would make the tables invalid. The state is then unchanged.
    pub fn apply(&mut self, edit: &ConfigEdit) -> Result<(), EditError> {
        self.apply_all(std::slice::from_ref(edit))
    }

    /// Applies consecutive edits atomically; the tables are validated once, after the last edit.
    ///
    /// # Errors
    ///
    /// Fails as [`apply`](Self::apply) does.
    pub fn apply_all(&mut self, edits: &[ConfigEdit]) -> Result<(), EditError> {
        let sequence = self.snapshot.sequence;
        let mut undo_log = Vec::new();
        let result = self.apply_and_validate(edits, &mut undo_log);
        if result.is_err() {
            for undo in undo_log.into_iter().rev() {
                undo.restore(&mut self.snapshot.tables);
            }
            self.snapshot.sequence = sequence;
        }
        result.map_err(EditError::from)
    }

    fn apply_and_validate(
        &mut self,
        edits: &[ConfigEdit],
        undo_log: &mut Vec<RowUndo>,
    ) -> Result<(), EditErrorKind> {
        for edit in edits {
            apply_edit(&mut self.snapshot, edit, undo_log)?;
        }
        let valid = self.snapshot.tables.validate();
        valid.map_err(EditErrorKind::Invalid)
    }
}

/// Name of a changed row, and the row before the change if it existed.
enum RowUndo {
    Route(String, Option<RouteRow>),
    Pool(String, Option<PoolRow>),
}

impl RowUndo {
    fn restore(self, tables: &mut TableSet) {
        match self {
            Self::Route(_, Some(row)) => drop(upsert_row(&mut tables.routes, row, route_name)),
            Self::Route(name, None) => drop(delete_row(&mut tables.routes, &name, route_name)),
            Self::Pool(_, Some(row)) => drop(upsert_row(&mut tables.pools, row, pool_name)),
            Self::Pool(name, None) => drop(delete_row(&mut tables.pools, &name, pool_name)),
        }
    }
}

fn apply_edit(
    snapshot: &mut ConfigSnapshot,
    edit: &ConfigEdit,
    undo_log: &mut Vec<RowUndo>,
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
        undo_log.push(apply_change(&mut snapshot.tables, change, &stamp));
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
        "routes" => find_row(&tables.routes, change.name(), route_name)
            .ok()
            .map(|index| &tables.routes[index].stamp),
        _ => find_row(&tables.pools, change.name(), pool_name)
            .ok()
            .map(|index| &tables.pools[index].stamp),
    };
    stamp.cloned().unwrap_or_default()
}

fn apply_change(tables: &mut TableSet, change: &RowChange, stamp: &RowStamp) -> RowUndo {
    let name = change.name().to_owned();
    match change {
        RowChange::PutRoute { row, .. } => {
            let row = RouteRow {
                stamp: stamp.clone(),
                ..row.clone()
            };
            RowUndo::Route(name, upsert_row(&mut tables.routes, row, route_name))
        }
        RowChange::PutPool { row, .. } => {
            let row = PoolRow {
                stamp: stamp.clone(),
                ..row.clone()
            };
            RowUndo::Pool(name, upsert_row(&mut tables.pools, row, pool_name))
        }
        RowChange::DeleteRoute { .. } => {
            let old = delete_row(&mut tables.routes, &name, route_name);
            RowUndo::Route(name, old)
        }
        RowChange::DeletePool { .. } => {
            let old = delete_row(&mut tables.pools, &name, pool_name);
            RowUndo::Pool(name, old)
        }
    }
}

fn route_name(row: &RouteRow) -> &str {
    &row.name
}

fn pool_name(row: &PoolRow) -> &str {
    &row.name
}

/// Returns the index of the row with a name, or the index at which to insert it.
fn find_row<R>(rows: &[R], name: &str, row_name: fn(&R) -> &str) -> Result<usize, usize> {
    rows.binary_search_by(|row| row_name(row).cmp(name))
}

/// Inserts or replaces a row, and returns the replaced one.
fn upsert_row<R>(rows: &mut Vec<R>, row: R, row_name: fn(&R) -> &str) -> Option<R> {
    match find_row(rows, row_name(&row), row_name) {
        Ok(index) => Some(std::mem::replace(&mut rows[index], row)),
        Err(index) => {
            rows.insert(index, row);
            None
        }
    }
}

/// Deletes a row and returns it.
fn delete_row<R>(rows: &mut Vec<R>, name: &str, row_name: fn(&R) -> &str) -> Option<R> {
    let index = find_row(rows, name, row_name).ok()?;
    Some(rows.remove(index))
}
