//! In-flight counts of this router.

use crate::TargetIndex;

/// Provides the number of requests that this router has in flight to each target.
///
/// Traffic threads implement it with atomic counters; tests use a slice.
pub trait InFlightCounts {
    /// Returns the number of requests in flight from this router to a target.
    fn in_flight(&self, target: TargetIndex) -> u32;
}

impl InFlightCounts for [u32] {
    fn in_flight(&self, target: TargetIndex) -> u32 {
        self.get(target.as_usize()).copied().unwrap_or_default()
    }
}

impl InFlightCounts for Vec<u32> {
    fn in_flight(&self, target: TargetIndex) -> u32 {
        self.as_slice().in_flight(target)
    }
}
