//! Tracks head writes whose reply was lost.

use briarrail_platform::{ObjectVersion, StoreError};

use crate::SubmitErrorKind;
use crate::attempt_error::AttemptError;

/// A conditional write of the head whose reply was lost.
#[derive(Debug)]
struct LostWrite {
    version: Option<ObjectVersion>,
    sequence: u64,
    error: StoreError,
}

/// Tracks the lost write of one submission that may still take effect.
///
/// All lost writes of a submission are conditional on the same version of the head: once the head
/// has another version, each of them has either taken effect or never will.
#[derive(Debug, Default)]
pub(crate) struct LostWriteTracker {
    lost: Option<LostWrite>,
}

impl LostWriteTracker {
    /// Returns whether no lost write can still take effect.
    pub(crate) fn is_resolved(&self) -> bool {
        self.lost.is_none()
    }

    /// Records a write whose reply was lost.
    pub(crate) fn record_lost_write(
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

    /// Resolves the lost write after a head of a given version was found not to contain the edit
    /// among those from `oldest_sequence` on.
    ///
    /// While the head is unchanged, the write can still take effect and stays unresolved.
    ///
    /// # Errors
    ///
    /// Fails when edits that old are no longer stored, so that it stays unknown whether the write
    /// took effect.
    pub(crate) fn resolve_not_found(
        &mut self,
        version: Option<ObjectVersion>,
        oldest_sequence: u64,
    ) -> Result<(), AttemptError> {
        match self.lost.take() {
            Some(lost) if lost.version == version => self.lost = Some(lost),
            Some(lost) if oldest_sequence > lost.sequence => {
                return Err(AttemptError::Fatal(SubmitErrorKind::Unknown(lost.error)));
            }
            _ => {}
        }
        Ok(())
    }

    /// Returns the error after the last attempt failed.
    pub(crate) fn into_error(self, attempts: u32) -> SubmitErrorKind {
        match self.lost {
            Some(lost) => SubmitErrorKind::Unknown(lost.error),
            None => SubmitErrorKind::TooManyConflicts(attempts),
        }
    }
}
