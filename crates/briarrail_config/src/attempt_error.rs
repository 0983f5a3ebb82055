//! Failure of one attempt to submit an edit.

use crate::{ReadError, ReadErrorKind, SubmitErrorKind};

/// How one attempt to submit an edit failed.
#[derive(Debug)]
pub(crate) enum AttemptError {
    /// Another attempt can't succeed.
    Fatal(SubmitErrorKind),
    /// The attempt had no effect. Another attempt is only useful to find out whether an earlier
    /// write whose reply was lost took effect.
    NoEffect(SubmitErrorKind),
    /// The attempt conflicted with another edit, or a reply was lost.
    Retry,
}

impl From<ReadError> for AttemptError {
    fn from(error: ReadError) -> Self {
        match error.kind {
            ReadErrorKind::Replaced => Self::Retry,
            _ => Self::NoEffect(error.into()),
        }
    }
}
