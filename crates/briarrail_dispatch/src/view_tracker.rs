//! Decides which of several routers' views of the targets is newer.
//!
//! When the reader cannot read the store, it asks several routers for their views, and those
//! routers in turn follow the reader. If one of them lags and views are adopted in order of
//! arrival, its view brings back a target that has left, and the other routers pass it on.

use briarrail_model::MilliTime;

/// A position in a router's sequence of roster changes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ViewPosition {
    /// Incarnation of the router; 0 if there is none.
    pub epoch: u64,
    /// Sequence number of the last change.
    pub sequence: u64,
}

/// Bounds on the time at which a view reflected the store.
///
/// A router reports the age of its view at an unknown time between the request and the response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ViewTimeBounds {
    /// Earliest possible time.
    pub earliest: MilliTime,
    /// Latest possible time.
    pub latest: MilliTime,
}

impl ViewTimeBounds {
    /// Creates bounds for a time that is known exactly.
    #[must_use]
    pub const fn exact(at: MilliTime) -> Self {
        Self {
            earliest: at,
            latest: at,
        }
    }
}

/// Tracks the age and the origin of the current view.
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
    /// Records a read of the store and whether it changed the roster.
    ///
    /// After a change, the roster no longer matches that of any followed router, so the next view
    /// is adopted as a whole.
    pub fn record_store_read(&mut self, time: ViewTimeBounds, is_changed: bool) {
        self.advance(time);
        if is_changed {
            self.position = ViewPosition::default();
        }
    }

    /// Returns whether another router's view replaces the current one, which requires that it is
    /// certainly no older.
    ///
    /// Views of the same router never go backwards, so the next view of the followed router is
    /// always accepted.
    #[must_use]
    pub fn accepts(&self, epoch: u64, time: ViewTimeBounds) -> bool {
        let is_not_older = |bounds: ViewTimeBounds| bounds.latest <= time.earliest;
        epoch == self.position.epoch || self.bounds.is_none_or(is_not_older)
    }

    /// Records that another router's view was adopted.
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

    /// Returns the position up to which the followed router's changes are applied.
    #[must_use]
    pub const fn position(&self) -> ViewPosition {
        self.position
    }

    /// Returns the earliest time at which the current view may have reflected the store, or `None`
    /// before the first view.
    #[must_use]
    pub fn observed_at(&self) -> Option<MilliTime> {
        self.bounds.map(|bounds| bounds.earliest)
    }
}
