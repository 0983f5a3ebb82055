//! Errors of rejected edits.

use briarrail_model::{RowStamp, TableError};
use thiserror::Error;

/// Reason why an edit was not applied.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum EditErrorKind {
    /// The edit is not the next one in sequence.
    #[error("edit {found} does not follow sequence number {current}")]
    OutOfSequence {
        /// Sequence number of the state.
        current: u64,
        /// Sequence number of the edit.
        found: u64,
    },
    /// The row is no longer at the version that the edit expects.
    #[error(
        "{table} row {name:?} was expected at version {expected} and is at version \
         {} (by {:?}); get the row again and repeat the edit",
        current.version, current.edited_by
    )]
    Outdated {
        /// Table of the row.
        table: &'static str,
        /// Name of the row.
        name: String,
        /// Version that the edit expects.
        expected: u64,
        /// Current version and its editor; version 0 when the row does not exist.
        current: RowStamp,
    },
    /// A row is larger than the limit.
    #[error("{table} row {name:?} has {bytes} bytes, and the limit is {limit}; split the row")]
    TooLarge {
        /// Table of the row.
        table: &'static str,
        /// Name of the row.
        name: String,
        /// Size of the row, in bytes.
        bytes: usize,
        /// Maximum size, in bytes.
        limit: usize,
    },
    /// The edit changes no row.
    #[error("the edit changes no row")]
    Empty,
    /// The edit changes a row more than once.
    #[error("an edit may change each row only once; found {found} changes of {table} row {name:?}")]
    DuplicateRow {
        /// Table of the row.
        table: &'static str,
        /// Name of the row.
        name: String,
        /// Number of changes to the row.
        found: usize,
    },
    /// The tables would be invalid after the edit.
    #[error("the tables would be invalid: {}", join_errors(.0))]
    Invalid(Vec<TableError>),
}

/// A rejected edit; the state is unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(transparent)]
pub struct EditError {
    /// Reason for the rejection.
    #[from]
    pub kind: EditErrorKind,
}

fn join_errors(errors: &[TableError]) -> String {
    let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
    lines.join("; ")
}
