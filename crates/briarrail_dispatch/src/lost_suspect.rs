//! A suspect of a request that was lost in a crash.

use briarrail_model::MilliTime;

use crate::CrashSuspect;

/// A suspect of a request that waited at a target when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LostSuspect {
    /// The suspect.
    pub suspect: CrashSuspect,
    /// Time at which the request was sent to the target.
    pub sent_at: MilliTime,
}
