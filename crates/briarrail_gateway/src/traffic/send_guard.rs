//! Accounting of one request in flight at a target.

use std::rc::Rc;

use briarrail_dispatch::{SendOutcome, TargetKey};
use briarrail_model::{MilliDuration, MilliTime};

use super::traffic_state::TrafficState;

/// Counts a request as in flight at a target until it is dropped, and records its outcome.
#[derive(Debug)]
pub(crate) struct SendGuard<D> {
    state: Rc<TrafficState<D>>,
    key: TargetKey,
    started_at: MilliTime,
    /// Time after which a cancellation by the caller counts as a failure of the target.
    cancellation_threshold: MilliDuration,
    is_recorded: bool,
}

impl<D> SendGuard<D> {
    /// Counts a request to a target as started.
    pub(crate) fn start(
        state: &Rc<TrafficState<D>>,
        key: TargetKey,
        cancellation_threshold: MilliDuration,
    ) -> Self {
        let now = state.clock.now();
        state.registry.borrow_mut().start_request(key, now);
        Self {
            state: Rc::clone(state),
            key,
            started_at: now,
            cancellation_threshold,
            is_recorded: false,
        }
    }

    /// Returns the key of the target.
    pub(crate) const fn key(&self) -> TargetKey {
        self.key
    }

    /// Returns the time since the attempt started.
    pub(crate) fn elapsed(&self) -> MilliDuration {
        self.state.clock.now().since(self.started_at)
    }

    /// Records the outcome; can be called again, because a stream can be interrupted after a
    /// successful start.
    pub(crate) fn record_outcome(&mut self, outcome: SendOutcome) {
        self.is_recorded = true;
        self.state.record_outcome(self.key, outcome);
    }

    /// Records no outcome, because the request says nothing about the target.
    pub(crate) const fn ignore_outcome(&mut self) {
        self.is_recorded = true;
    }
}

impl<D> Drop for SendGuard<D> {
    fn drop(&mut self) {
        let elapsed = self.elapsed();
        if !self.is_recorded && elapsed >= self.cancellation_threshold {
            self.state.record_outcome(self.key, SendOutcome::Broken);
        }
        self.state.registry.borrow_mut().finish_request(self.key);
    }
}
