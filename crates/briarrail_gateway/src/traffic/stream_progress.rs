//! Progress of a stream at its current target.

use std::cell::Cell;

use briarrail_dispatch::TargetKey;
use briarrail_model::{MilliDuration, MilliTime};
use tokio::sync::Notify;

/// Progress of a stream at its current target, shared by the task that relays from it and the one
/// that moves the stream to another target if the current one is silent.
#[derive(Debug)]
pub(crate) struct StreamProgress {
    /// Number of events that the target has sent.
    events: Cell<u64>,
    /// Id of the first missing event, if the stream can be resumed.
    resume_at: Cell<Option<u64>>,
    /// Time since which the target is waited for; `None` while the caller takes events.
    waiting_since: Cell<Option<MilliTime>>,
    changed: Notify,
    /// Another target that has the request.
    asked_target: Cell<Option<TargetKey>>,
    /// Another target that has the request, which an event of the current one cancels.
    cancelled_target: Cell<Option<TargetKey>>,
    is_left: Cell<bool>,
    left: Notify,
}

impl StreamProgress {
    /// Creates the progress of a stream that waits for the event with the given id.
    pub(crate) fn new(resume_at: Option<u64>, now: MilliTime) -> Self {
        Self {
            events: Cell::new(0),
            resume_at: Cell::new(resume_at),
            waiting_since: Cell::new(Some(now)),
            changed: Notify::new(),
            asked_target: Cell::new(None),
            cancelled_target: Cell::new(None),
            is_left: Cell::new(false),
            left: Notify::new(),
        }
    }

    /// Records that an event arrived, which the caller has to take before the next one is read.
    pub(crate) fn record_event(&self, resume_at: Option<u64>) {
        self.events.set(self.events.get() + 1);
        self.resume_at.set(resume_at);
        self.waiting_since.set(None);
        if let Some(asked) = self.asked_target.take() {
            self.cancelled_target.set(Some(asked));
        }
        self.changed.notify_one();
    }

    /// Records that the next event is waited for.
    pub(crate) fn start_wait(&self, now: MilliTime) {
        self.waiting_since.set(Some(now));
        self.changed.notify_one();
    }

    pub(crate) const fn events(&self) -> u64 {
        self.events.get()
    }

    pub(crate) const fn resume_at(&self) -> Option<u64> {
        self.resume_at.get()
    }

    /// Returns the time since which the target is waited for; `None` while the caller takes events.
    pub(crate) const fn waiting_since(&self) -> Option<MilliTime> {
        self.waiting_since.get()
    }

    /// Returns the time at which the target is silent for `max_gap`, or `None` while the caller
    /// takes events.
    pub(crate) fn silent_at(&self, max_gap: MilliDuration) -> Option<MilliTime> {
        self.waiting_since.get().map(|since| since + max_gap)
    }

    /// Waits until the number of events or the state of waiting changes.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Waits until the target has sent more than `events`.
    pub(crate) async fn resumed(&self, events: u64) {
        while self.events.get() == events {
            self.changed.notified().await;
        }
    }

    /// Records that another target gets the request.
    pub(crate) fn start_ask(&self, other: TargetKey) {
        self.asked_target.set(Some(other));
    }

    /// Records that what the other target did with the request is known, or that it was cancelled.
    pub(crate) fn end_ask(&self) {
        self.asked_target.set(None);
        self.cancelled_target.set(None);
    }

    /// Returns whether another target has the request, which was not cancelled.
    pub(crate) fn is_sent(&self) -> bool {
        self.asked_target.get().is_some()
    }

    /// Returns the other target whose request an event of the current one cancelled, unless
    /// [`end_ask`](Self::end_ask) has recorded that.
    pub(crate) fn take_cancelled(&self) -> Option<TargetKey> {
        self.cancelled_target.take()
    }

    /// Gives up the target.
    pub(crate) fn leave(&self) {
        self.is_left.set(true);
        self.left.notify_one();
    }

    /// Returns whether the target was given up.
    pub(crate) const fn is_left(&self) -> bool {
        self.is_left.get()
    }

    /// Waits until the target is given up.
    pub(crate) async fn left(&self) {
        while !self.is_left.get() {
            self.left.notified().await;
        }
    }
}
