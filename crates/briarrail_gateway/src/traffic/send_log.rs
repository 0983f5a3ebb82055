//! Log lines and metrics of one send.

use std::rc::Rc;

use briarrail_model::MilliTime;
use bytes::Bytes;

use super::target_knowledge::TargetKnowledge;
use super::traffic_state::TrafficState;

/// Logs and counts what became of one send of a request, also while another one is under way.
#[derive(Debug)]
pub(crate) struct SendLog<D> {
    pub(super) state: Rc<TrafficState<D>>,
    pub(super) request_id: Bytes,
    pub(super) service: String,
    pub(super) target_id: String,
    /// What was known of the target when it was selected.
    pub(super) target_knowledge: TargetKnowledge,
    /// Number of the send within the request, from 1.
    pub(super) send: u32,
    pub(super) arrived_at: MilliTime,
}

impl<D> SendLog<D> {
    /// Returns the identifier of the target.
    pub(crate) fn target_id(&self) -> &str {
        &self.target_id
    }

    /// Logs that the send failed.
    pub(crate) fn log_failure(&self, cause: &'static str, detail: &str) {
        tracing::info!(
            event = "send_failed",
            request_id = %String::from_utf8_lossy(&self.request_id),
            target_id = self.target_id,
            target_started_ms = self.target_knowledge.started_unix_ms,
            leaving_source = self.target_knowledge.leaving_source,
            leaving_age_ms = self.target_knowledge.leaving_age_ms(),
            send = self.send,
            cause,
            detail,
            elapsed_ms = self.state.clock.now().since(self.arrived_at).as_millis(),
        );
    }

    /// Logs and counts that the send failed.
    pub(crate) fn record_failure(&self, cause: &'static str, detail: &impl ToString) {
        self.log_failure(cause, &detail.to_string());
        self.count(cause);
    }

    /// Counts the outcome of the send.
    pub(crate) fn count(&self, outcome: &'static str) {
        self.state.metrics.count_send(&self.service, outcome);
    }
}
