//! When a view reflected the store, as far as a router can tell.

use briarrail_model::{MilliDuration, MilliTime};

/// Bounds on the time at which a view reflected the store.
///
/// A router reports the age of its view at an unknown time between the request and the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
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

/// The time at which a view reflected the store.
///
/// The age that follows from it is the highest possible one, so it does not shrink when the view is
/// passed on.
///
/// # Examples
///
/// ```
/// use briarrail_dispatch::{ViewTime, ViewTimeBounds};
/// use briarrail_model::{MilliDuration, MilliTime};
///
/// let at = MilliTime::from_millis;
/// let mut time = ViewTime::Unknown;
/// assert_eq!(time.age(at(900)), None);
/// time.advance(ViewTimeBounds::exact(at(400)).into());
/// assert_eq!(time.age(at(900)), Some(MilliDuration::from_millis(500)));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ViewTime {
    /// There is no view, the store was allowed to return a stale one, or the time lies before the
    /// start of the clock.
    #[default]
    Unknown,
    /// A time within bounds.
    Within(ViewTimeBounds),
}

impl ViewTime {
    /// Returns the bounds, or `None` if the time is unknown.
    #[must_use]
    pub const fn bounds(self) -> Option<ViewTimeBounds> {
        match self {
            Self::Unknown => None,
            Self::Within(bounds) => Some(bounds),
        }
    }

    /// Returns the highest possible age, or `None` if it is unknown.
    #[must_use]
    pub fn age(self, now: MilliTime) -> Option<MilliDuration> {
        self.bounds().map(|bounds| now.since(bounds.earliest))
    }

    /// Returns the lowest possible age, or `None` if it is unknown.
    #[must_use]
    pub fn min_age(self, now: MilliTime) -> Option<MilliDuration> {
        self.bounds().map(|bounds| now.since(bounds.latest))
    }

    /// Returns the time of a view whose highest and lowest possible age another router reported
    /// between the request and the response; unknown if it may lie before the start of the clock.
    ///
    /// Routers of earlier versions report no lowest age. Taking the highest one for it makes the view
    /// seem older than it may be, so that an older view of a third router can seem newer.
    #[must_use]
    pub fn reported(
        age: MilliDuration,
        min_age: Option<MilliDuration>,
        requested_at: MilliTime,
        received_at: MilliTime,
    ) -> Self {
        if age > requested_at.since(MilliTime::default()) {
            return Self::Unknown;
        }
        Self::Within(ViewTimeBounds {
            earliest: requested_at - age,
            latest: received_at - min_age.unwrap_or(age).min(age),
        })
    }

    /// Records a later confirmation of the view; an unknown time changes nothing.
    pub fn advance(&mut self, time: Self) {
        let Some(found) = time.bounds() else {
            return;
        };
        let known = self.bounds().unwrap_or(found);
        *self = Self::Within(ViewTimeBounds {
            earliest: known.earliest.max(found.earliest),
            latest: known.latest.max(found.latest),
        });
    }
}

impl From<ViewTimeBounds> for ViewTime {
    fn from(bounds: ViewTimeBounds) -> Self {
        Self::Within(bounds)
    }
}
