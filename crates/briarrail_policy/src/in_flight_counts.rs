//! In-flight counts of a router.

use crate::TargetIndex;

/// Tells how many requests this router has in flight to a target.
///
/// Traffic threads implement it over atomic counters; tests use a slice.
pub trait InFlightCounts {
    /// Returns the requests in flight from this router to a target.
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
