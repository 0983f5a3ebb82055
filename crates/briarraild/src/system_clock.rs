//! The clock of the process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use briarrail_model::MilliTime;

/// A clock for Unix time that never goes backwards within a process.
///
/// It reads the system time once and adds the time that has passed on a monotonic clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SystemClock {
    started_unix_ms: u64,
    started_at: Instant,
}

impl SystemClock {
    /// Creates a clock that starts at the current system time.
    pub(crate) fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started_unix_ms: since_epoch.as_millis() as u64,
            started_at: Instant::now(),
        }
    }

    /// Returns the current Unix time.
    pub(crate) fn now(&self) -> MilliTime {
        let elapsed_ms = self.started_at.elapsed().as_millis() as u64;
        MilliTime::from_millis(self.started_unix_ms + elapsed_ms)
    }
}
