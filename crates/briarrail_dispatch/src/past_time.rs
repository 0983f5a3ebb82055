//! Times before or after the start of this process.

use briarrail_model::{MilliDuration, MilliTime};

/// Time of an event that another router may have seen before this process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PastTime(i64);

impl PastTime {
    /// Returns the time of an event of the given age.
    pub(crate) const fn new(now: MilliTime, age: MilliDuration) -> Self {
        Self(now.as_millis() as i64 - age.as_millis() as i64)
    }

    /// Returns the time since the event, or zero if it lies in the future.
    pub(crate) fn age(self, now: MilliTime) -> MilliDuration {
        let millis = now.as_millis() as i64 - self.0;
        MilliDuration::from_millis(millis.max(0) as u64)
    }

    /// Returns the time between two events, in either order.
    pub(crate) const fn distance(self, other: Self) -> MilliDuration {
        MilliDuration::from_millis(self.0.abs_diff(other.0))
    }
}

impl From<MilliTime> for PastTime {
    fn from(time: MilliTime) -> Self {
        Self::new(time, MilliDuration::ZERO)
    }
}
