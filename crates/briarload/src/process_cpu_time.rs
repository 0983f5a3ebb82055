//! CPU time of other processes.

use std::time::Duration;

/// Kernel clock ticks per second, the unit of the CPU times in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;
/// Indexes of user and system time among the fields after the program name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// CPU time that a process has used since its start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProcessCpuTime {
    used: Duration,
}

impl ProcessCpuTime {
    /// Reads the CPU time of a process, or returns `None` if the process has exited or is not
    /// visible.
    #[must_use]
    pub fn read(process_id: u32) -> Option<Self> {
        let text = std::fs::read_to_string(format!("/proc/{process_id}/stat")).ok()?;
        let (_, fields) = text.rsplit_once(')')?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let user: f64 = fields.get(USER_TIME_FIELD)?.parse().ok()?;
        let system: f64 = fields.get(SYSTEM_TIME_FIELD)?.parse().ok()?;
        Some(Self {
            used: Duration::from_secs_f64((user + system) / TICKS_PER_S),
        })
    }

    /// Returns the CPU time used since an earlier reading.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        self.used.saturating_sub(earlier.used)
    }
}
