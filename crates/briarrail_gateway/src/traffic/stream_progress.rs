//! Progress of a stream at its current target.

use std::cell::Cell;

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
    /// Whether another target has the request.
    is_sent: Cell<bool>,
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
            is_sent: Cell::new(false),
            is_left: Cell::new(false),
            left: Notify::new(),
        }
    }

    /// Records that an event arrived, which the caller has to take before the next one is read.
    pub(crate) fn record_event(&self, resume_at: Option<u64>) {
        self.events.set(self.events.get() + 1);
        self.resume_at.set(resume_at);
        self.waiting_since.set(None);
        // The event cancels the request at another target.
        self.is_sent.set(false);
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

    pub(crate) fn set_sent(&self, is_sent: bool) {
        self.is_sent.set(is_sent);
    }

    /// Returns whether another target has the request.
    pub(crate) const fn is_sent(&self) -> bool {
        self.is_sent.get()
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
