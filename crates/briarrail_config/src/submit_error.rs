//! Errors of submitting an edit.

use briarrail_platform::StoreError;
use thiserror::Error;

use crate::{EditErrorKind, EditId, ReadError};

/// Reason why submitting an edit returned no receipt.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum SubmitErrorKind {
    /// The edit was rejected and had no effect.
    #[error("the edit was refused: {0}")]
    Refused(#[from] EditErrorKind),
    /// The tables could not be read, so nothing was written.
    #[error("the edit was not accepted: {0}")]
    Unreadable(#[from] ReadError),
    /// The object API did not process a write, so the edit had no effect.
    #[error("the edit was not accepted: {0}")]
    NotWritten(StoreError),
    /// Each attempt conflicted with another edit; carries the number of attempts.
    #[error(
        "the edit was not accepted: all {0} attempts conflicted with other edits; submit it again"
    )]
    TooManyConflicts(u32),
    /// A write was sent whose reply was lost, and it can't be determined whether it took effect.
    #[error(
        "it is unknown whether the edit was accepted ({0}); look it up by its identifier, or \
         submit it again with the same identifier"
    )]
    Unknown(StoreError),
}

/// Error of submitting an edit.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("edit {}: {kind}", id.0)]
pub struct SubmitError {
    /// Reason why there is no receipt.
    pub kind: SubmitErrorKind,
    /// Identifier of the edit.
    pub id: EditId,
}
