//! The silence of a target that has a request.

use briarrail_model::{MilliDuration, MilliTime};

use super::request_trace::RequestTrace;
use super::target_knowledge::TargetKnowledge;

/// The silence of a target, as seen when the search for another one began.
#[derive(Debug)]
pub(super) struct TargetSilence {
    pub(super) target_id: String,
    /// What was known of the target when it was selected.
    pub(super) target_knowledge: TargetKnowledge,
    /// Time since which the target is silent.
    pub(super) since: MilliTime,
    /// Number of events that the target had sent.
    pub(super) events: u64,
    /// Id of the first missing event of a stream that can be resumed.
    pub(super) resume_at: Option<u64>,
}

impl TargetSilence {
    /// Returns for how long the target is silent.
    pub(super) fn gap(&self, now: MilliTime) -> MilliDuration {
        now.since(self.since)
    }

    /// Logs what the silence led to.
    pub(super) fn log<D>(
        &self,
        trace: &RequestTrace<D>,
        now: MilliTime,
        outcome: &'static str,
        reason: &'static str,
    ) {
        tracing::info!(
            event = "target_silent",
            request_id = %String::from_utf8_lossy(trace.request_id()),
            target_id = self.target_id,
            gap_ms = self.gap(now).as_millis(),
            resume_at = self.resume_at,
            sends = trace.sends,
            outcome,
            reason,
        );
    }
}
