//! Changes of the blocked suspects.

use briarrail_model::MilliTime;

use crate::CrashSuspect;

/// A change of the blocked suspects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectChange {
    /// The suspect is blocked until a time.
    Blocked(CrashSuspect, MilliTime),
    /// The suspect is not blocked any more, because an answer to a request with it began, or another
    /// suspect explains the crashes.
    Released(CrashSuspect),
}

impl SuspectChange {
    /// Returns the suspect that changed.
    #[must_use]
    pub const fn suspect(&self) -> CrashSuspect {
        match self {
            Self::Blocked(suspect, _) | Self::Released(suspect) => *suspect,
        }
    }
}
