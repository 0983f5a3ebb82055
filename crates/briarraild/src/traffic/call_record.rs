//! Measurements of one call.

use std::sync::Arc;

use briarrail_burn::{OutcomeClass, RequestRecord, StreamTimer};
use briarrail_model::{CallSemantics, CustomerId, MilliTime};
use briarrail_outcome::RequestOutcome;

use super::CallerRequest;
use crate::state::{RequestGuard, RoutingSource, SharedState};

/// Measures one call and counts it once, when it ends.
#[derive(Debug)]
pub(crate) struct CallRecord {
    state: Arc<SharedState>,
    pool: String,
    customer: CustomerId,
    at_most_once: bool,
    started: MilliTime,
    timer: StreamTimer,
    has_first_event: bool,
    is_finished: bool,
    _guard: RequestGuard,
}

impl CallRecord {
    /// Starts the record of a routed request.
    pub(crate) fn start(
        state: &Arc<SharedState>,
        source: &RoutingSource,
        request: &CallerRequest,
    ) -> Self {
        state.metrics.add_streams(1);
        Self {
            state: Arc::clone(state),
            pool: source.pool.row.name.clone(),
            customer: request.customer.clone(),
            at_most_once: source.route.semantics == CallSemantics::AtMostOnce,
            started: request.received_at,
            timer: StreamTimer::new(&source.pool.row.objective, request.received_at),
            has_first_event: false,
            is_finished: false,
            _guard: state.enter_request(),
        }
    }

    /// Notes an attempt at a target.
    pub(crate) fn note_attempt(&self) {
        self.state.metrics.count_attempt(&self.pool);
    }

    /// Notes events or bytes that go to the caller.
    pub(crate) fn note_events(&mut self, events: u64, now: MilliTime) {
        self.state.metrics.count_events(events);
        self.timer.record_token(now);
        if !self.has_first_event {
            self.has_first_event = true;
            let seconds = now.since(self.started).as_secs_f64();
            self.state.metrics.record_first_event(&self.pool, seconds);
        }
    }

    /// Notes the prompt tokens of the answer's head.
    pub(crate) fn note_prompt(&self, prompt: u64, cached: u64) {
        self.state.metrics.count_prompt(&self.pool, prompt, cached);
    }

    /// Counts the outcome; a further call changes nothing.
    pub(crate) fn finish(&mut self, outcome: RequestOutcome, now: MilliTime) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        self.state.metrics.count_request(&self.pool, outcome);
        self.state.outcomes.add(outcome);
        let record = RequestRecord {
            pool: &self.pool,
            customer: self.customer.as_str(),
            class: OutcomeClass::from(&outcome),
            at_most_once: self.at_most_once,
            stream: self.timer.counts(),
        };
        self.state.burn().record(&record, now);
    }
}

impl Drop for CallRecord {
    fn drop(&mut self) {
        self.state.metrics.add_streams(-1);
    }
}
