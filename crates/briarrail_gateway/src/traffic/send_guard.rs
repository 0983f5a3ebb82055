//! Accounting of one request in flight at a target.

use std::cell::Cell;
use std::rc::Rc;

use briarrail_dispatch::{SendOutcome, TargetKey};
use briarrail_model::{MilliDuration, MilliTime};

use super::crash_check::{LostRequest, check_target};
use super::request_traits::RequestTraits;
use super::traffic_state::TrafficState;

/// Time after the first event for which a target must stay up before its answer counts as begun; a
/// crash breaks its connections within milliseconds.
const MIN_SURVIVAL: MilliDuration = MilliDuration::from_millis(100);

/// Counts a request as in flight at a target until it is dropped, and records its outcome.
#[derive(Debug)]
pub(crate) struct SendGuard<D> {
    state: Rc<TrafficState<D>>,
    key: TargetKey,
    started_at: MilliTime,
    /// Time after which a cancellation by the caller counts as a failure of the target.
    cancellation_threshold: MilliDuration,
    traits: RequestTraits,
    first_event_at: Option<MilliTime>,
    /// Whether the target began to write the answer and survived it.
    has_begun: bool,
    is_recorded: bool,
    /// Whether the attempt was given up because the target is silent.
    is_silent: Rc<Cell<bool>>,
}

impl<D> SendGuard<D> {
    /// Counts a request with the given traits as started at a target.
    pub(crate) fn start(
        state: &Rc<TrafficState<D>>,
        key: TargetKey,
        cancellation_threshold: MilliDuration,
        traits: RequestTraits,
    ) -> Self {
        let now = state.clock.now();
        state.registry.borrow_mut().start_request(key, now);
        Self {
            state: Rc::clone(state),
            key,
            started_at: now,
            cancellation_threshold,
            traits,
            first_event_at: None,
            has_begun: false,
            is_recorded: false,
            is_silent: Rc::new(Cell::new(false)),
        }
    }

    /// Returns the key of the target.
    pub(crate) const fn key(&self) -> TargetKey {
        self.key
    }

    /// Returns the flag that makes a drop without an outcome count as a slow target.
    pub(crate) fn silence_flag(&self) -> Rc<Cell<bool>> {
        Rc::clone(&self.is_silent)
    }

    /// Records that the request leaves now, after the wait for its connection.
    pub(crate) fn record_departure(&self) {
        let now = self.state.clock.now();
        let mut registry = self.state.registry.borrow_mut();
        registry.record_departure(self.key, self.started_at, now);
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

    /// Records that an event of the answer arrived.
    ///
    /// The answer counts as begun once the target has survived it for a while.
    pub(crate) fn record_event(&mut self) {
        let now = self.state.clock.now();
        let first_event_at = *self.first_event_at.get_or_insert(now);
        if now.since(first_event_at) >= MIN_SURVIVAL {
            self.record_begin();
        }
    }

    /// Returns whether an event of the answer arrived.
    pub(crate) const fn has_event(&self) -> bool {
        self.first_event_at.is_some()
    }

    /// Records that the answer is complete.
    pub(crate) fn record_completion(&mut self) {
        self.record_outcome(SendOutcome::Good);
        self.record_begin();
    }

    fn record_begin(&mut self) {
        if !self.has_begun {
            self.has_begun = true;
            self.state.record_begin(&self.traits);
        }
    }

    /// Records that the connection broke before the answer was complete, which may be a crash that
    /// the request caused.
    pub(crate) fn record_connection_loss(&mut self)
    where
        D: 'static,
    {
        self.record_outcome(SendOutcome::Broken);
        let lost = (!self.has_begun).then(|| LostRequest {
            traits: self.traits.clone(),
            sent_at: self.started_at,
        });
        // While the view is current, it tells of a target that starts again.
        if lost.is_some() || !self.state.has_current_view() {
            check_target(&self.state, self.key, lost);
        }
    }

    /// Records no outcome, because the request says nothing about the target.
    pub(crate) const fn ignore_outcome(&mut self) {
        self.is_recorded = true;
    }
}

impl<D> Drop for SendGuard<D> {
    fn drop(&mut self) {
        let elapsed = self.elapsed();
        if !self.is_recorded && self.is_silent.get() {
            self.state.record_outcome(self.key, SendOutcome::Slow);
        } else if !self.is_recorded && elapsed >= self.cancellation_threshold {
            self.state.record_outcome(self.key, SendOutcome::Broken);
        }
        self.state.registry.borrow_mut().finish_request(self.key);
    }
}
