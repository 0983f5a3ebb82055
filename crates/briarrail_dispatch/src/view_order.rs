//! Which of several routers' views of the targets is the later one.
//!
//! Load pattern: the store fails the reader, which asks several routers for their view, and they
//! follow the reader in turn. One of them lags. Taken in the order of arrival, its view brings a
//! target back that has left, and the others hand it round.

use briarrail_model::MilliTime;

/// A place in a router's sequence of roster changes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ViewPosition {
    /// Incarnation of the router; 0 stands for none.
    pub epoch: u64,
    /// Last change of that sequence.
    pub sequence: u64,
}

/// The view that a router holds, by the time at which the store had it.
///
/// # Examples
///
/// ```
/// use briarrail_dispatch::{ViewOrder, ViewPosition};
/// use briarrail_model::MilliTime;
///
/// let mut order = ViewOrder::default();
/// let current = ViewPosition { epoch: 7, sequence: 3 };
/// order.note_followed(current, MilliTime::from_millis(900));
/// assert!(!order.accepts(8, MilliTime::from_millis(400)));
/// assert!(order.accepts(8, MilliTime::from_millis(950)));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct ViewOrder {
    seen_at: Option<MilliTime>,
    position: ViewPosition,
}

impl ViewOrder {
    /// Notes that the store was read, and whether that changed the roster.
    ///
    /// A changed roster is no longer that of any followed router, so the next one is taken whole.
    pub fn note_own_read(&mut self, at: MilliTime, is_changed: bool) {
        self.seen_at = self.seen_at.max(Some(at));
        if is_changed {
            self.position = ViewPosition::default();
        }
    }

    /// Returns whether a router's view, which the store had at `seen_at`, replaces the held one.
    ///
    /// One router's views only go forward, so that its next one always does.
    #[must_use]
    pub fn accepts(&self, epoch: u64, seen_at: MilliTime) -> bool {
        epoch == self.position.epoch || self.seen_at.is_none_or(|held| held <= seen_at)
    }

    /// Notes that a router's view was taken.
    pub fn note_followed(&mut self, position: ViewPosition, seen_at: MilliTime) {
        self.seen_at = self.seen_at.max(Some(seen_at));
        self.position = position;
    }

    /// Returns the place up to which a router's changes are held.
    #[must_use]
    pub const fn position(&self) -> ViewPosition {
        self.position
    }

    /// Returns when the store had the held view; none before the first.
    #[must_use]
    pub const fn seen_at(&self) -> Option<MilliTime> {
        self.seen_at
    }
}
