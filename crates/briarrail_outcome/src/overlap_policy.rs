//! Decides which of two targets keeps a request that both have.

use briarrail_model::{MilliDuration, MilliTime};

/// Which target keeps a request when the time for which two may have it is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverlapEnd {
    /// The silent target keeps it; the other one is asked again later.
    WithdrawOther,
    /// The other target keeps it.
    LeaveSilent,
}

/// Limits on the time for which a silent target and another one have the same request.
///
/// A target that pauses for a moment and goes on is sound, and the other one may still refuse. So the
/// silent target keeps the request until it has been silent for longer than such a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverlapPolicy {
    /// Maximum time for which two targets have the request.
    pub max_overlap: MilliDuration,
    /// Maximum pause of a sound target.
    pub max_pause: MilliDuration,
}

impl OverlapPolicy {
    /// Returns the time at which the overlap ends that begins at `asked_at`.
    #[must_use]
    pub fn end_at(&self, asked_at: MilliTime) -> MilliTime {
        asked_at + self.max_overlap
    }

    /// Returns which target keeps the request at the end of an overlap.
    #[must_use]
    pub fn decide(&self, silent_since: MilliTime, now: MilliTime) -> OverlapEnd {
        if now.since(silent_since) < self.max_pause {
            OverlapEnd::WithdrawOther
        } else {
            OverlapEnd::LeaveSilent
        }
    }

    /// Returns when another target is asked again after one was withdrawn at `now`.
    #[must_use]
    pub fn next_search_at(&self, silent_since: MilliTime, now: MilliTime) -> MilliTime {
        (silent_since + self.max_pause).max(now + self.max_overlap)
    }
}
