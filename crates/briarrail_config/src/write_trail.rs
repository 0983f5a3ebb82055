//! What is known of the writes that submitting an edit has sent so far.

use briarrail_platform::{ObjectVersion, StoreError};

use crate::SubmitErrorKind;

/// How one try to submit an edit failed.
#[derive(Debug)]
pub(crate) enum AttemptError {
    /// No further try can help.
    Final(SubmitErrorKind),
    /// The try had no effect, and further tries help only to settle an earlier lost write.
    Failed(SubmitErrorKind),
    /// Another edit came first, or a reply was lost.
    Raced,
}

/// A conditional write of the head whose reply was lost.
#[derive(Debug)]
struct LostWrite {
    version: Option<ObjectVersion>,
    sequence: u64,
    error: StoreError,
}

/// The lost write that may still take effect, if any.
///
/// All lost writes of one submission depend on the same version of the head: once the head has
/// another version, they have taken effect or never will.
#[derive(Debug, Default)]
pub(crate) struct WriteTrail {
    lost: Option<LostWrite>,
}

impl WriteTrail {
    /// Returns whether no write may still take effect.
    pub(crate) fn is_settled(&self) -> bool {
        self.lost.is_none()
    }

    /// Notes a write whose reply was lost.
    pub(crate) fn note_lost(
        &mut self,
        version: Option<ObjectVersion>,
        sequence: u64,
        error: StoreError,
    ) {
        self.lost = Some(LostWrite {
            version,
            sequence,
            error,
        });
    }

    /// Takes in that the edit is not among those from `oldest` on, in a head of some version.
    ///
    /// # Errors
    ///
    /// Fails when the edits kept don't reach back to the lost write.
    pub(crate) fn settle(
        &mut self,
        version: Option<ObjectVersion>,
        oldest: u64,
    ) -> Result<(), AttemptError> {
        match self.lost.take() {
            Some(lost) if lost.version == version => self.lost = Some(lost),
            Some(lost) if oldest > lost.sequence => {
                return Err(AttemptError::Final(SubmitErrorKind::Unknown(lost.error)));
            }
            _ => {}
        }
        Ok(())
    }

    /// Returns the error after the last try.
    pub(crate) fn into_error(self, attempts: u32) -> SubmitErrorKind {
        match self.lost {
            Some(lost) => SubmitErrorKind::Unknown(lost.error),
            None => SubmitErrorKind::TooManyConflicts(attempts),
        }
    }
}
