//! Monotonic clock of the process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use briarrail_model::MilliTime;

/// Measures milliseconds since the start of the process; unaffected by changes of the system time.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// Starts the clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> MilliTime {
        MilliTime::from_millis(self.start.elapsed().as_millis() as u64)
    }

    /// Converts a time of this clock to an instant for timers.
    #[must_use]
    pub fn instant(&self, time: MilliTime) -> tokio::time::Instant {
        (self.start + Duration::from_millis(time.as_millis())).into()
    }
}

/// Returns the system time as a Unix time in milliseconds; 0 if it is before 1970.
pub(crate) fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis() as u64)
}
