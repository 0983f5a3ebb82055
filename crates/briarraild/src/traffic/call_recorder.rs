//! Metrics of one call.

use std::sync::Arc;

use briarrail_burn::{OutcomeClass, RequestRecord, StreamTimer};
use briarrail_model::{CallSemantics, CustomerId, MilliTime};
use briarrail_outcome::RequestOutcome;

use super::CallerRequest;
use crate::state::{RequestGuard, RouteMatch, SharedState};

/// Records the metrics of one call, and counts its outcome once.
#[derive(Debug)]
pub(crate) struct CallRecorder {
    state: Arc<SharedState>,
    pool: String,
    customer: CustomerId,
    is_at_most_once: bool,
    received_at: MilliTime,
    timer: StreamTimer,
    has_first_event: bool,
    is_finished: bool,
    _guard: RequestGuard,
}

impl CallRecorder {
    /// Starts the metrics of a routed request.
    pub(crate) fn start(
        state: &Arc<SharedState>,
        source: &RouteMatch,
        request: &CallerRequest,
    ) -> Self {
        state.metrics.add_open_streams(1);
        Self {
            state: Arc::clone(state),
            pool: source.pool.row.name.clone(),
            customer: request.customer.clone(),
            is_at_most_once: source.route.semantics == CallSemantics::AtMostOnce,
            received_at: request.received_at,
            timer: StreamTimer::new(&source.pool.row.objective, request.received_at),
            has_first_event: false,
            is_finished: false,
            _guard: state.track_request(),
        }
    }

    /// Records an attempt at a target.
    pub(crate) fn record_attempt(&self) {
        self.state.metrics.count_attempt(&self.pool);
    }

    /// Records events or a buffered body sent to the caller.
    pub(crate) fn record_events(&mut self, events: u64, now: MilliTime) {
        self.state.metrics.count_events(events);
        self.timer.record_token(now);
        if !self.has_first_event {
            self.has_first_event = true;
            let seconds = now.since(self.received_at).as_secs_f64();
            self.state.metrics.record_first_event(&self.pool, seconds);
        }
    }

    /// Records the prompt tokens that the response head states.
    pub(crate) fn record_prompt_tokens(&self, prompt: u64, cached: u64) {
        self.state
            .metrics
            .count_prompt_tokens(&self.pool, prompt, cached);
    }

    /// Counts the outcome; later calls have no effect.
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
            at_most_once: self.is_at_most_once,
            stream: self.timer.counts(),
        };
        self.state.burn_recorder().record(&record, now);
    }
}

impl Drop for CallRecorder {
    fn drop(&mut self) {
        self.state.metrics.add_open_streams(-1);
    }
}
