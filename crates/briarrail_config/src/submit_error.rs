//! Edits that were not accepted, or whose fate is unknown.

use briarrail_platform::StoreError;
use thiserror::Error;

use crate::{EditErrorKind, EditId, ReadError};

/// What became of a submitted edit that has no receipt.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum SubmitErrorKind {
    /// The edit was refused and has no effect.
    #[error("the edit was refused: {0}")]
    Refused(#[from] EditErrorKind),
    /// The tables could not be read, so nothing was written.
    #[error("the edit was not accepted: {0}")]
    Unreadable(#[from] ReadError),
    /// The object API did not take the write, so the edit has no effect.
    #[error("the edit was not accepted: {0}")]
    NotWritten(StoreError),
    /// Other operators' edits came first each time.
    #[error("the edit was not accepted: other edits came first {0} times; submit it again")]
    TooManyConflicts(u32),
    /// The write was sent, and it could not be read back.
    #[error(
        "it is unknown whether the edit was accepted ({0}); look it up by its identifier, or \
         submit it again with the same identifier"
    )]
    Unknown(StoreError),
}

/// An edit without a receipt.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("edit {}: {kind}", id.0)]
pub struct SubmitError {
    /// What became of the edit.
    pub kind: SubmitErrorKind,
    /// Identifier of the edit.
    pub id: EditId,
}
