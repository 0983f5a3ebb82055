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

/// When the store had a view, as far as this router can tell.
///
/// A router tells the age of its view at some time between the question and the reply.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ViewTimeBounds {
    /// The earliest time at which that may have been.
    pub earliest: MilliTime,
    /// The latest such time.
    pub latest: MilliTime,
}

impl ViewTimeBounds {
    /// Makes a time that is known exactly.
    #[must_use]
    pub const fn exact(at: MilliTime) -> Self {
        Self {
            earliest: at,
            latest: at,
        }
    }
}

/// The view that a router holds, by the time at which the store had it.
///
/// # Examples
///
/// ```
/// use briarrail_dispatch::{ViewTracker, ViewPosition, ViewTimeBounds};
/// use briarrail_model::MilliTime;
///
/// let at = |millis| ViewTimeBounds::exact(MilliTime::from_millis(millis));
/// let mut tracker = ViewTracker::default();
/// let current = ViewPosition { epoch: 7, sequence: 3 };
/// tracker.record_adopted_view(current, at(900));
/// assert!(!tracker.accepts(8, at(400)));
/// assert!(tracker.accepts(8, at(950)));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct ViewTracker {
    bounds: Option<ViewTimeBounds>,
    position: ViewPosition,
}

impl ViewTracker {
    /// Notes that the store was read, and whether that changed the roster.
    ///
    /// A changed roster is no longer that of any followed router, so the next one is taken whole.
    pub fn record_store_read(&mut self, time: ViewTimeBounds, is_changed: bool) {
        self.advance(time);
        if is_changed {
            self.position = ViewPosition::default();
        }
    }

    /// Returns whether a router's view replaces the held one, which it does when it is surely no
    /// older.
    ///
    /// One router's views only go forward, so that its next one always does.
    #[must_use]
    pub fn accepts(&self, epoch: u64, time: ViewTimeBounds) -> bool {
        let is_not_older = |bounds: ViewTimeBounds| bounds.latest <= time.earliest;
        epoch == self.position.epoch || self.bounds.is_none_or(is_not_older)
    }

    /// Notes that a router's view was taken.
    pub fn record_adopted_view(&mut self, position: ViewPosition, time: ViewTimeBounds) {
        self.advance(time);
        self.position = position;
    }

    fn advance(&mut self, time: ViewTimeBounds) {
        let bounds = self.bounds.unwrap_or_default();
        self.bounds = Some(ViewTimeBounds {
            earliest: bounds.earliest.max(time.earliest),
            latest: bounds.latest.max(time.latest),
        });
    }

    /// Returns the place up to which a router's changes are held.
    #[must_use]
    pub const fn position(&self) -> ViewPosition {
        self.position
    }

    /// Returns when the store had the held view, at the earliest; none before the first.
    #[must_use]
    pub fn observed_at(&self) -> Option<MilliTime> {
        self.bounds.map(|bounds| bounds.earliest)
    }
}
