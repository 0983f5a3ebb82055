//! What routers tell each other about the pause of a target.

use briarrail_model::MilliDuration;

/// Part of the routers, as a divisor, that a target must have asked for a pause before the others keep
/// it too. A target that is busy may turn single routers away while it serves the others.
const MIN_ROUTERS_DIVISOR: usize = 4;
/// Minimum number of those routers.
const MIN_ROUTERS: usize = 2;

/// A pause for which a target asked some routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PauseReport {
    /// Number of routers that it asked.
    pub routers: u32,
    /// Shortest time that is left of their pauses.
    pub left: MilliDuration,
}

impl PauseReport {
    /// Returns the report of two groups of routers together.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            routers: self.routers + other.routers,
            left: self.left.min(other.left),
        }
    }

    /// Returns whether the target asked so many of the fleet's routers that it means all of them.
    ///
    /// In a large fleet a router asks each target less than once in a pause. It would find out
    /// which targets are paused at the cost of refused requests, whose callers come back in a herd.
    #[must_use]
    pub fn means_all(&self, routers: usize) -> bool {
        self.routers as usize >= MIN_ROUTERS.max(routers.div_ceil(MIN_ROUTERS_DIVISOR))
    }
}
