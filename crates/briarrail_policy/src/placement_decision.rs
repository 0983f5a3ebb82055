//! Outcomes of placement.

use briarrail_model::MilliDuration;

use crate::CandidateList;

/// Where a request goes, or that it goes nowhere yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementDecision {
    /// Send to the first target; the others are for calls that may be tried again.
    Send(CandidateList),
    /// Every target is at its bound: ask again after the span.
    Wait {
        /// Span until the next try.
        retry_after: MilliDuration,
    },
    /// Refuse before anything is sent, as not run.
    Refuse {
        /// Span after which a target is expected below its bound.
        retry_after: MilliDuration,
    },
}

impl PlacementDecision {
    /// Returns the best target, or none when the request is not to be sent.
    #[must_use]
    pub fn target(&self) -> Option<crate::TargetIndex> {
        match self {
            Self::Send(list) => list.first(),
            Self::Wait { .. } | Self::Refuse { .. } => None,
        }
    }
}
