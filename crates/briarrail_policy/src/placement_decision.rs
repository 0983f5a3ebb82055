//! Results of placement.

use briarrail_model::MilliDuration;

use crate::CandidateList;

/// Result of placing a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementDecision {
    /// Send to the first target; the others are alternatives for calls that may be retried.
    Send(CandidateList),
    /// Every target is at its load limit; retry after a delay.
    Wait {
        /// Delay before the next try.
        retry_after: MilliDuration,
    },
    /// Refuse the request and report that it was not run; nothing was sent.
    Refuse {
        /// Estimated time until a target is below its load limit.
        retry_after: MilliDuration,
    },
}

impl PlacementDecision {
    /// Returns the best target, or `None` if the request must not be sent.
    #[must_use]
    pub fn target(&self) -> Option<crate::TargetIndex> {
        match self {
            Self::Send(list) => list.first(),
            Self::Wait { .. } | Self::Refuse { .. } => None,
        }
    }
}
