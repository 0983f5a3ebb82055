//! The run of a target that a request was sent to.

use briarrail_model::MilliTime;

use crate::TargetRun;

/// The run of a target that a request was sent to, as known then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AskedRun {
    /// The latest run that was known.
    pub run: TargetRun,
    /// Time at which the request left.
    pub asked_at: MilliTime,
}
