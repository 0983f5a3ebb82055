//! Log line and metrics of one request.

use std::rc::Rc;
use std::sync::atomic::Ordering;

use briarrail_dispatch::AdmissionRatio;
use briarrail_model::{MilliDuration, MilliTime};
use bytes::Bytes;

use super::request_traits::RequestTraits;
use super::send_log::SendLog;
use super::target_knowledge::TargetKnowledge;
use super::traffic_state::TrafficState;

/// Collects the decisions about a request, and logs them as one line when the request ends.
///
/// The line is written on drop, because a request is dropped at any point when its caller
/// disconnects.
#[derive(Debug)]
pub(crate) struct RequestTrace<D> {
    state: Rc<TrafficState<D>>,
    arrived_at: MilliTime,
    request_id: Bytes,
    pub(crate) route: String,
    pub(crate) service: String,
    pub(crate) customer: Option<String>,
    pub(crate) config_version: u64,
    pub(crate) target_id: String,
    /// What was known of the target when it was selected.
    pub(crate) target_knowledge: TargetKnowledge,
    /// Position of the target in the request's rendezvous order.
    pub(crate) rank: Option<usize>,
    /// Load above which targets in rendezvous order were skipped.
    pub(crate) load_limit: f32,
    /// Lower 32 bits of the key of the shared context.
    pub(crate) context_hash: Option<u32>,
    /// Size of the shared parts of the prompt, in tokens.
    pub(crate) shared_tokens: u32,
    /// Traits by which the request is recognised when it is sent again.
    pub(crate) traits: RequestTraits,
    /// Expected load of the target when it was selected.
    pub(crate) target_load: f32,
    /// Mean load of the service when the target was selected.
    pub(crate) mean_load: f32,
    /// Age of the other routers' request counts when the target was selected.
    pub(crate) counts_age: Option<MilliDuration>,
    /// Share of the service's calls that are sent, for plain calls.
    pub(crate) admission: Option<AdmissionRatio>,
    pub(crate) sends: u32,
    pub(crate) events: u64,
    pub(crate) first_event: Option<MilliDuration>,
    pub(crate) status: u16,
    pub(crate) outcome: &'static str,
    pub(crate) reason: &'static str,
}

impl<D> RequestTrace<D> {
    pub(crate) fn new(state: &Rc<TrafficState<D>>, arrived_at: MilliTime) -> Self {
        state.shared.in_flight.fetch_add(1, Ordering::Relaxed);
        Self {
            state: Rc::clone(state),
            arrived_at,
            request_id: Bytes::new(),
            route: String::new(),
            service: String::new(),
            customer: None,
            config_version: 0,
            target_id: String::new(),
            target_knowledge: TargetKnowledge::default(),
            rank: None,
            load_limit: 0.0,
            context_hash: None,
            shared_tokens: 0,
            traits: RequestTraits::default(),
            target_load: 0.0,
            mean_load: 0.0,
            counts_age: None,
            admission: None,
            sends: 0,
            events: 0,
            first_event: None,
            status: 0,
            outcome: "caller_left",
            reason: "",
        }
    }

    pub(crate) fn set_request_id(&mut self, id: &Bytes) {
        self.request_id = id.clone();
    }

    pub(crate) fn request_id(&self) -> &Bytes {
        &self.request_id
    }

    /// Sets the outcome that is logged.
    pub(crate) const fn set_outcome(
        &mut self,
        outcome: &'static str,
        reason: &'static str,
        status: u16,
    ) {
        self.outcome = outcome;
        self.reason = reason;
        self.status = status;
    }

    /// Names a target that was selected before, because the request stays there or returns to it.
    pub(crate) fn return_to(&mut self, target_id: String, knowledge: TargetKnowledge) {
        self.target_id = target_id;
        self.target_knowledge = knowledge;
    }

    /// Counts a send and returns its log.
    pub(crate) fn start_send(&mut self) -> SendLog<D> {
        self.sends += 1;
        self.send_log()
    }

    /// Returns the log of the last send.
    pub(crate) fn send_log(&self) -> SendLog<D> {
        SendLog {
            state: Rc::clone(&self.state),
            request_id: self.request_id.clone(),
            service: self.service.clone(),
            target_id: self.target_id.clone(),
            target_knowledge: self.target_knowledge,
            send: self.sends,
            arrived_at: self.arrived_at,
        }
    }

    /// Logs that an attempt at a target failed.
    pub(crate) fn log_failed_send(&self, cause: &'static str, detail: &str) {
        self.send_log().log_failure(cause, detail);
    }

    /// Records the time to the first event of a stream.
    pub(crate) fn record_first_event(&mut self) {
        if self.first_event.is_none() {
            let elapsed = self.elapsed();
            self.first_event = Some(elapsed);
            self.state
                .metrics
                .record_first_event(&self.service, elapsed);
        }
    }

    pub(crate) fn elapsed(&self) -> MilliDuration {
        self.state.clock.now().since(self.arrived_at)
    }
}

impl<D> Drop for RequestTrace<D> {
    fn drop(&mut self) {
        self.state.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
        let elapsed = self.elapsed();
        self.state
            .metrics
            .count_request(&self.service, self.outcome, elapsed);
        tracing::info!(
            event = "request",
            request_id = %String::from_utf8_lossy(&self.request_id),
            route = self.route,
            service = self.service,
            customer = self.customer,
            config_version = self.config_version,
            target_id = self.target_id,
            target_started_ms = self.target_knowledge.started_unix_ms,
            leaving_source = self.target_knowledge.leaving_source,
            leaving_age_ms = self.target_knowledge.leaving_age_ms(),
            rank = self.rank,
            load_limit = self.load_limit,
            context = self.context_hash,
            shared_tokens = self.shared_tokens,
            fingerprint = self.traits.fingerprint_text(),
            parts = %self.traits.shared_parts,
            target_load = self.target_load,
            mean_load = self.mean_load,
            counts_age_ms = self.counts_age.map(MilliDuration::as_millis),
            admission_ratio = self.admission.map(|admission| admission.ratio),
            demand_per_s = self.admission.map(|admission| admission.demand_per_s),
            capacity_per_s = self.admission.map(|admission| admission.capacity_per_s),
            sends = self.sends,
            events = self.events,
            first_event_ms = self.first_event.map(MilliDuration::as_millis),
            elapsed_ms = elapsed.as_millis(),
            status = self.status,
            outcome = self.outcome,
            reason = self.reason,
        );
    }
}
