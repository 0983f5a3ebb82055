//! Refused edits.

use briarrail_model::{RowStamp, TableError};
use thiserror::Error;

/// Why an edit was not applied.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum EditErrorKind {
    /// The edit does not follow the state's sequence number.
    #[error("edit {found} does not follow sequence number {current}")]
    OutOfSequence {
        /// Sequence number of the state.
        current: u64,
        /// Sequence number of the edit.
        found: u64,
    },
    /// Another operator changed the row first.
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
        /// Version that the operator saw.
        expected: u64,
        /// Version that is in force, and who made it; version 0 when the row is absent.
        current: RowStamp,
    },
    /// A row is too large.
    #[error("{table} row {name:?} has {bytes} bytes and may have {limit}; split it")]
    TooLarge {
        /// Table of the row.
        table: &'static str,
        /// Name of the row.
        name: String,
        /// Size of the row, in bytes.
        bytes: usize,
        /// Largest size, in bytes.
        limit: usize,
    },
    /// The edit changes no row.
    #[error("the edit changes no row")]
    Empty,
    /// The edit changes a row more than once.
    #[error("an edit changes each of its rows once; found {found} changes of {table} row {name:?}")]
    NotDistinct {
        /// Table of the row.
        table: &'static str,
        /// Name of the row.
        name: String,
        /// Changes of the row.
        found: usize,
    },
    /// The tables would be invalid with the edit.
    #[error("the tables would be invalid: {}", display_all(.0))]
    Invalid(Vec<TableError>),
}

/// A refused edit; the state is as it was before.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(transparent)]
pub struct EditError {
    /// Why the edit was refused.
    #[from]
    pub kind: EditErrorKind,
}

fn display_all(errors: &[TableError]) -> String {
    let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
    lines.join("; ")
}
