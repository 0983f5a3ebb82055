//! Measurements of one call.

use std::sync::Arc;

use briarrail_model::MilliTime;
use briarrail_outcome::RequestOutcome;

use crate::state::{RequestGuard, SharedState};

/// Measures one call and counts it once, when it ends.
#[derive(Debug)]
pub(crate) struct CallRecord {
    state: Arc<SharedState>,
    pool: String,
    started: MilliTime,
    has_first_event: bool,
    is_finished: bool,
    _guard: RequestGuard,
}

impl CallRecord {
    /// Starts the record of a call to a pool.
    pub(crate) fn start(state: &Arc<SharedState>, pool: &str, now: MilliTime) -> Self {
        state.metrics.add_streams(1);
        Self {
            state: Arc::clone(state),
            pool: pool.to_owned(),
            started: now,
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
    pub(crate) fn finish(&mut self, outcome: RequestOutcome) {
        if !std::mem::replace(&mut self.is_finished, true) {
            self.state.metrics.count_request(&self.pool, outcome);
        }
    }
}

impl Drop for CallRecord {
    fn drop(&mut self) {
        self.state.metrics.add_streams(-1);
    }
}
