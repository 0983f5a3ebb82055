//! The clock of the process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use briarrail_model::MilliTime;

/// Tells Unix time that never runs backwards within a process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SystemClock {
    start_ms: u64,
    start: Instant,
}

impl SystemClock {
    /// Starts the clock at the system's Unix time.
    pub(crate) fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            start_ms: since_epoch.as_millis() as u64,
            start: Instant::now(),
        }
    }

    /// Returns the present Unix time.
    pub(crate) fn now(&self) -> MilliTime {
        let elapsed_ms = self.start.elapsed().as_millis() as u64;
        MilliTime::from_millis(self.start_ms + elapsed_ms)
    }
}
