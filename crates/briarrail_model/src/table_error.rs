//! Validation errors of the tables.

use thiserror::Error;

/// Kind of a validation error.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum TableErrorKind {
    /// The name is empty, too long or contains characters that are not allowed.
    #[error("the name is not valid")]
    InvalidName,
    /// Two rows of one table have the same name.
    #[error("the name is not unique")]
    DuplicateName,
    /// A route refers to a pool that does not exist.
    #[error("no pool has this name")]
    UnknownPool,
    /// A value is outside its range.
    #[error("the value is out of range")]
    OutOfRange,
    /// Two settings of a row cannot be combined.
    #[error("the settings cannot be combined")]
    Conflict,
}

/// A validation error, with the invalid value and a hint on how to fix it.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{table} row {row:?}, {field}: {kind}: {value:?} (hint: {hint})")]
pub struct TableError {
    /// Kind of the error.
    pub kind: TableErrorKind,
    /// Name of the table: `routes` or `pools`.
    pub table: &'static str,
    /// Name of the row.
    pub row: String,
    /// Path of the field in the row.
    pub field: &'static str,
    /// The invalid value.
    pub value: String,
    /// How to fix the error.
    pub hint: String,
}
