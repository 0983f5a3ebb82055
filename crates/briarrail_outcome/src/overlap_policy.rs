//! Decides which of two targets keeps a request that both have.

use briarrail_model::{MilliDuration, MilliTime};

/// Which targets keep a request at the end of an overlap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverlapEnd {
    /// The silent target keeps it; the other one is asked again later.
    WithdrawOther,
    /// Both keep it until one of them answers.
    KeepBoth,
}

/// Limits on the time for which a silent target and another one have the same request.
///
/// A target that pauses and goes on is sound, and the other one may still refuse. So the silent target
/// keeps the request until the other one has taken it. For as long as sound targets usually pause, the
/// other one has to answer within the overlap; after that it keeps its place in its queue, and the first
/// answer decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverlapPolicy {
    /// Maximum time for which two targets have the request while the silent one may only pause.
    pub max_overlap: MilliDuration,
    /// Usual maximum of the pauses of sound targets.
    pub max_pause: MilliDuration,
}

impl OverlapPolicy {
    /// Returns the time at which the overlap ends that begins at `asked_at`.
    #[must_use]
    pub fn end_at(&self, asked_at: MilliTime) -> MilliTime {
        asked_at + self.max_overlap
    }

    /// Returns which targets keep the request at the end of an overlap.
    #[must_use]
    pub fn decide(&self, silent_since: MilliTime, now: MilliTime) -> OverlapEnd {
        if now.since(silent_since) < self.max_pause {
            OverlapEnd::WithdrawOther
        } else {
            OverlapEnd::KeepBoth
        }
    }

    /// Returns when another target is asked again after one was withdrawn at `now`.
    #[must_use]
    pub fn next_search_at(&self, silent_since: MilliTime, now: MilliTime) -> MilliTime {
        (silent_since + self.max_pause).max(now + self.max_overlap)
    }
}
