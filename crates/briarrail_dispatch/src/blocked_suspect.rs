//! A blocked suspect.

use briarrail_model::MilliTime;

use crate::CrashSuspect;

/// A blocked suspect, for the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockedSuspect {
    /// The suspect.
    pub suspect: CrashSuspect,
    /// End of the block.
    pub until: MilliTime,
}
