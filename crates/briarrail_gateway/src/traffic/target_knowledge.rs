//! What a router knew of a target when it sent a request there.

use briarrail_dispatch::{LeavingNotice, TargetState};
use briarrail_model::{MilliDuration, MilliTime};

/// What a router knew of a target when it sent a request there, for the log.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TargetKnowledge {
    /// Unix time at which the listed run of the target started, in milliseconds; 0 if unknown.
    pub(crate) started_unix_ms: u64,
    /// The last word of the target that it leaves, also one that does not hold for the listed run.
    leaving: Option<LeavingNotice>,
}

impl TargetKnowledge {
    pub(crate) fn new(target: &TargetState) -> Self {
        Self {
            started_unix_ms: target.record.started_unix_ms,
            leaving: target.standing().last_leaving(),
        }
    }

    /// Returns from where the target is known to leave.
    pub(crate) fn leaving_source(&self) -> Option<&'static str> {
        self.leaving.map(|notice| notice.source.name())
    }

    /// Returns for how long this has been known, in milliseconds.
    pub(crate) fn leaving_age_ms(&self, now: MilliTime) -> Option<u64> {
        self.leaving
            .map(|notice| now.since(notice.heard_at))
            .map(MilliDuration::as_millis)
    }
}
