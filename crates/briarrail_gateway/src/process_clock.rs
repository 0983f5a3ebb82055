//! The process's steady clock.

use std::time::{Duration, Instant};

use briarrail_model::MilliTime;

/// Milliseconds since the start of the process, unaffected by steps of the time of day.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the present time.
    #[must_use]
    pub fn now(&self) -> MilliTime {
        MilliTime::from_millis(self.start.elapsed().as_millis() as u64)
    }

    /// Returns the instant of a time of this clock, for timers.
    #[must_use]
    pub fn instant(&self, time: MilliTime) -> tokio::time::Instant {
        (self.start + Duration::from_millis(time.as_millis())).into()
    }
}
