//! Accounting of one request at one target.

use std::rc::Rc;

use briarrail_dispatch::{SendOutcome, TargetKey};
use briarrail_model::{MilliDuration, MilliTime};

use super::traffic_state::TrafficState;

/// Counts a request at a target until it is dropped, and records its outcome once.
#[derive(Debug)]
pub(crate) struct SendGuard<D> {
    state: Rc<TrafficState<D>>,
    key: TargetKey,
    sent_at: MilliTime,
    /// Silence after which a caller that leaves speaks against the target.
    patience: MilliDuration,
    is_recorded: bool,
}

impl<D> SendGuard<D> {
    pub(crate) fn begin(
        state: &Rc<TrafficState<D>>,
        key: TargetKey,
        patience: MilliDuration,
    ) -> Self {
        let now = state.clock.now();
        state.board.borrow_mut().start_request(key, now);
        Self {
            state: Rc::clone(state),
            key,
            sent_at: now,
            patience,
            is_recorded: false,
        }
    }

    /// Returns the target.
    pub(crate) const fn key(&self) -> TargetKey {
        self.key
    }

    /// Returns the time since the send began.
    pub(crate) fn elapsed(&self) -> MilliDuration {
        self.state.clock.now().since(self.sent_at)
    }

    /// Records how the send ended; later calls count too, since a stream can break after a good
    /// start.
    pub(crate) fn record(&mut self, outcome: SendOutcome) {
        self.is_recorded = true;
        self.state.record_outcome(self.key, outcome);
    }

    /// Leaves without an opinion on the target.
    pub(crate) const fn waive(&mut self) {
        self.is_recorded = true;
    }
}

impl<D> Drop for SendGuard<D> {
    fn drop(&mut self) {
        let waited = self.elapsed();
        if !self.is_recorded && waited >= self.patience {
            self.state.record_outcome(self.key, SendOutcome::Broken);
        }
        self.state.board.borrow_mut().finish_request(self.key);
    }
}
