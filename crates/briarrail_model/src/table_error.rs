//! Mistakes in the tables.

use thiserror::Error;

/// What is wrong with a row.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum TableErrorKind {
    /// The name is empty or holds characters that names may not hold.
    #[error("the name is not valid")]
    InvalidName,
    /// Two rows of one table have the same name.
    #[error("the name stands twice")]
    DuplicateName,
    /// A route names a pool that does not exist.
    #[error("no pool has this name")]
    UnknownPool,
    /// A value is outside its range.
    #[error("the value is out of range")]
    OutOfRange,
    /// Two settings of a row exclude each other.
    #[error("the settings exclude each other")]
    Conflict,
}

/// One mistake in a table, with the offending value and a hint.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{table} row {row:?}, {field}: {kind}: {value:?} (hint: {hint})")]
pub struct TableError {
    /// Kind of the mistake.
    pub kind: TableErrorKind,
    /// Table of the row: `routes` or `pools`.
    pub table: &'static str,
    /// Name of the row.
    pub row: String,
    /// Field of the row.
    pub field: &'static str,
    /// Offending value.
    pub value: String,
    /// What to do about it.
    pub hint: String,
}
