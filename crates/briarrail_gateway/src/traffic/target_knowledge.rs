//! What a router knew of a target when it selected it for a request.

use briarrail_dispatch::TargetState;
use briarrail_model::{MilliDuration, MilliTime};

/// What a router knew of a target when it selected it for a request, for the log.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TargetKnowledge {
    /// Unix time at which the listed run of the target started, in milliseconds; 0 if unknown.
    pub(crate) started_unix_ms: u64,
    /// From where the last notice that the target leaves is known, also one that does not hold for the
    /// listed run.
    pub(crate) leaving_source: Option<&'static str>,
    /// Time for which that notice has been known.
    leaving_age: Option<MilliDuration>,
}

impl TargetKnowledge {
    pub(crate) fn new(target: &TargetState, now: MilliTime) -> Self {
        let leaving = target.standing().last_leaving();
        Self {
            started_unix_ms: target.record.started_unix_ms,
            leaving_source: leaving.map(|notice| notice.source.name()),
            leaving_age: leaving.map(|notice| now.since(notice.heard_at)),
        }
    }

    pub(crate) fn leaving_age_ms(&self) -> Option<u64> {
        self.leaving_age.map(MilliDuration::as_millis)
    }
}
