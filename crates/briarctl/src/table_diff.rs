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

/// What becomes of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum DiffKind {
    Create,
    Change,
    Delete,
}

/// A row that differs.
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
    /// Compares wanted rows with those in force.
    ///
    /// A wanted row that carries a version is based on that version, and one without on the
    /// version in force. Rows that are not wanted are deleted only when asked for.
    pub(crate) fn new(current: &[TableRow], wanted: &[TableRow], prunes: bool) -> Self {
        let key = |row: &TableRow| (row.table, row.name.clone());
        let in_force: BTreeMap<_, _> = current.iter().map(|row| (key(row), row)).collect();
        let asked: BTreeMap<_, _> = wanted.iter().map(|row| (key(row), row)).collect();
        let mut rows: Vec<_> = asked
            .iter()
            .filter_map(|(key, row)| put_diff(in_force.get(key).copied(), row))
            .collect();
        if prunes {
            let surplus = in_force.iter().filter(|(key, _)| !asked.contains_key(*key));
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
            let mark = match row.kind {
                DiffKind::Create => '+',
                DiffKind::Change => '~',
                DiffKind::Delete => '-',
            };
            // Writing to text never fails.
            let _ = writeln!(text, "{mark} {} {}", row.table, row.name);
            for field in &row.fields {
                let shown = |value: &Option<Value>| {
                    value
                        .as_ref()
                        .map_or("(absent)".to_owned(), Value::to_string)
                };
                let (from, to) = (shown(&field.from), shown(&field.to));
                let _ = writeln!(text, "    {}: {from} -> {to}", field.field);
            }
        }
        text
    }
}

impl RowDiff {
    pub(crate) fn delete(row: &TableRow, expected: u64) -> Self {
        Self {
            table: row.table,
            name: row.name.clone(),
            kind: DiffKind::Delete,
            fields: Vec::new(),
            change: row.delete(expected),
        }
    }
}

fn put_diff(current: Option<&TableRow>, wanted: &TableRow) -> Option<RowDiff> {
    let fields = match current {
        Some(row) => field_changes(&row.fields, &wanted.fields),
        None => Vec::new(),
    };
    if current.is_some() && fields.is_empty() {
        return None;
    }
    let in_force = current.map_or(0, |row| row.version);
    let expected = match wanted.version {
        0 => in_force,
        version => version,
    };
    Some(RowDiff {
        table: wanted.table,
        name: wanted.name.clone(),
        kind: if current.is_some() {
            DiffKind::Change
        } else {
            DiffKind::Create
        },
        fields,
        change: wanted.put(expected),
    })
}

fn field_changes(from: &Value, to: &Value) -> Vec<FieldChange> {
    let mut paths = BTreeMap::<String, (Option<Value>, Option<Value>)>::new();
    for (path, value) in flatten(from) {
        paths.entry(path).or_default().0 = Some(value);
    }
    for (path, value) in flatten(to) {
        paths.entry(path).or_default().1 = Some(value);
    }
    let differing = paths.into_iter().filter(|(_, (from, to))| from != to);
    differing
        .map(|(field, (from, to))| FieldChange { field, from, to })
        .collect()
}
