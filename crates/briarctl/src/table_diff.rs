//! Differences between two states of the tables.

use std::collections::BTreeMap;
use std::fmt::Write;

use briarrail_config::RowChange;
use serde::Serialize;
use serde_json::Value;

use crate::field_path::flatten;
use crate::table_row::{TableName, TableRow};

/// A field that differs.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct FieldChange {
    pub(crate) field: String,
    pub(crate) from: Option<Value>,
    pub(crate) to: Option<Value>,
}

/// How a row changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum DiffKind {
    Create,
    Change,
    Delete,
}

/// A row that differs, with the change that applies the difference.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct RowDiff {
    pub(crate) table: TableName,
    pub(crate) name: String,
    pub(crate) kind: DiffKind,
    pub(crate) fields: Vec<FieldChange>,
    #[serde(skip)]
    change: RowChange,
}

/// The rows that differ.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct TableDiff {
    pub(crate) rows: Vec<RowDiff>,
}

impl TableDiff {
    /// Compares the desired rows with the current ones.
    ///
    /// A desired row with a version expects that version, and one without a version expects the
    /// current one. Current rows that are not desired are deleted only if `prune` is set.
    pub(crate) fn new(current: &[TableRow], desired: &[TableRow], prune: bool) -> Self {
        let key = |row: &TableRow| (row.table, row.name.clone());
        let current_rows: BTreeMap<_, _> = current.iter().map(|row| (key(row), row)).collect();
        let desired_rows: BTreeMap<_, _> = desired.iter().map(|row| (key(row), row)).collect();
        let mut rows: Vec<_> = desired_rows
            .iter()
            .filter_map(|(key, row)| diff_row(current_rows.get(key).copied(), row))
            .collect();
        if prune {
            let surplus = current_rows
                .iter()
                .filter(|(key, _)| !desired_rows.contains_key(*key));
            rows.extend(surplus.map(|(_, row)| RowDiff::delete(row, row.version)));
        }
        Self { rows }
    }

    pub(crate) fn changes(&self) -> Vec<RowChange> {
        self.rows.iter().map(|row| row.change.clone()).collect()
    }

    pub(crate) fn to_text(&self) -> String {
        if self.rows.is_empty() {
            return "no differences\n".to_owned();
        }
        let mut text = String::new();
        for row in &self.rows {
            let symbol = match row.kind {
                DiffKind::Create => '+',
                DiffKind::Change => '~',
                DiffKind::Delete => '-',
            };
            // Writing to a `String` never fails.
            let _ = writeln!(text, "{symbol} {} {}", row.table, row.name);
            for field in &row.fields {
                let value_text = |value: &Option<Value>| {
                    value
                        .as_ref()
                        .map_or("(absent)".to_owned(), Value::to_string)
                };
                let (from, to) = (value_text(&field.from), value_text(&field.to));
                let _ = writeln!(text, "    {}: {from} -> {to}", field.field);
            }
        }
        text
    }
}

impl RowDiff {
    pub(crate) fn delete(row: &TableRow, expected_version: u64) -> Self {
        Self {
            table: row.table,
            name: row.name.clone(),
            kind: DiffKind::Delete,
            fields: Vec::new(),
            change: row.delete_change(expected_version),
        }
    }
}

fn diff_row(current: Option<&TableRow>, desired: &TableRow) -> Option<RowDiff> {
    let fields = match current {
        Some(row) => field_changes(&row.fields, &desired.fields),
        None => Vec::new(),
    };
    if current.is_some() && fields.is_empty() {
        return None;
    }
    let current_version = current.map_or(0, |row| row.version);
    let expected_version = match desired.version {
        0 => current_version,
        version => version,
    };
    Some(RowDiff {
        table: desired.table,
        name: desired.name.clone(),
        kind: if current.is_some() {
            DiffKind::Change
        } else {
            DiffKind::Create
        },
        fields,
        change: desired.put_change(expected_version),
    })
}

fn field_changes(from: &Value, to: &Value) -> Vec<FieldChange> {
    let mut fields_by_path = BTreeMap::<String, (Option<Value>, Option<Value>)>::new();
    for (path, value) in flatten(from) {
        fields_by_path.entry(path).or_default().0 = Some(value);
    }
    for (path, value) in flatten(to) {
        fields_by_path.entry(path).or_default().1 = Some(value);
    }
    let differing = fields_by_path
        .into_iter()
        .filter(|(_, (from, to))| from != to);
    differing
        .map(|(field, (from, to))| FieldChange { field, from, to })
        .collect()
}
