//! Number of routers, while the exchange with some of them may have failed.

use briarrail_model::{MilliDuration, MilliTime};

/// Time for which a router that is not heard from still counts; longer than it takes to choose
/// another hub.
const PEAK_MEMORY: MilliDuration = MilliDuration::from_secs(10);

/// Number of live routers, and its recent maximum.
///
/// When a router loses its hub, it hears from no other router until it follows another one, while
/// all of them go on sending requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    live: usize,
    peak: usize,
    peak_at: MilliTime,
}

impl Default for FleetSize {
    fn default() -> Self {
        Self {
            live: 1,
            peak: 1,
            peak_at: MilliTime::default(),
        }
    }
}

impl FleetSize {
    /// Records the number of routers whose counts are known, including this one.
    pub const fn record(&mut self, live: usize, now: MilliTime) {
        self.live = if live == 0 { 1 } else { live };
        let is_outdated = now.since(self.peak_at).as_millis() > PEAK_MEMORY.as_millis();
        if self.live >= self.peak || is_outdated {
            self.peak = self.live;
            self.peak_at = now;
        }
    }

    /// Returns the number of routers that may be sending requests.
    #[must_use]
    pub const fn routers(&self) -> usize {
        self.peak
    }

    /// Returns the factor from the sum over the routers with known counts to that over all.
    #[must_use]
    pub fn uncounted_factor(&self) -> f32 {
        self.peak as f32 / self.live as f32
    }
}
