//! Decides which of several routers' views of the targets is newer.
//!
//! When the reader cannot read the store, it asks several routers for their views, and those
//! routers in turn follow the reader. If one of them lags and views are adopted in order of
//! arrival, its view brings back a target that has left, and the other routers pass it on.

use briarrail_model::{MilliDuration, MilliTime};

use crate::ViewTime;

/// A position in a router's sequence of roster changes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ViewPosition {
    /// Incarnation of the router; 0 if there is none.
    pub epoch: u64,
    /// Sequence number of the last change.
    pub sequence: u64,
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
    time: ViewTime,
    position: ViewPosition,
}

impl ViewTracker {
    /// Records a read of the store and whether it changed the roster.
    ///
    /// After a change, the roster no longer matches that of any followed router, so the next view
    /// is adopted as a whole.
    pub fn record_store_read<T>(&mut self, time: T, is_changed: bool)
    where
        T: Into<ViewTime>,
    {
        self.time.advance(time.into());
        if is_changed {
            self.position = ViewPosition::default();
        }
    }

    /// Returns whether another router's view replaces the current one, which requires that it is
    /// certainly no older.
    ///
    /// Views of the same router never go backwards, so the next view of the followed router is
    /// always accepted. A view of unknown age replaces only another one of unknown age.
    #[must_use]
    pub fn accepts<T>(&self, epoch: u64, time: T) -> bool
    where
        T: Into<ViewTime>,
    {
        let Some(known) = self.time.bounds() else {
            return true;
        };
        let found = time.into().bounds();
        epoch == self.position.epoch || found.is_some_and(|found| known.latest <= found.earliest)
    }

    /// Records that another router's view was adopted.
    pub fn record_adopted_view<T>(&mut self, position: ViewPosition, time: T)
    where
        T: Into<ViewTime>,
    {
        self.time.advance(time.into());
        self.position = position;
    }

    /// Returns the position up to which the followed router's changes are applied.
    #[must_use]
    pub const fn position(&self) -> ViewPosition {
        self.position
    }

    /// Returns the earliest time at which the current view may have reflected the store, or `None`
    /// if it is unknown.
    #[must_use]
    pub fn observed_at(&self) -> Option<MilliTime> {
        self.time.bounds().map(|bounds| bounds.earliest)
    }

    /// Returns the lowest possible age of the current view, or `None` if it is unknown.
    #[must_use]
    pub fn min_age(&self, now: MilliTime) -> Option<MilliDuration> {
        self.time.min_age(now)
    }

    /// Returns the highest possible age of the current view, or `None` if it is unknown.
    #[must_use]
    pub fn age(&self, now: MilliTime) -> Option<MilliDuration> {
        self.time.age(now)
    }
}
