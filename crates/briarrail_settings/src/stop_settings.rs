//! Graceful shutdown.

use briarrail_model::MilliDuration;

use crate::section_reader::SectionReader;

/// How the router shuts down after SIGTERM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopSettings {
    /// Time for which the router keeps serving while load balancers and peers learn of the
    /// shutdown, in milliseconds.
    pub list_lag_ms: MilliDuration,
    /// Time after which requests in flight are aborted, in milliseconds; 0 disables the limit.
    pub limit_ms: MilliDuration,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self {
            list_lag_ms: MilliDuration::from_secs(5),
            limit_ms: MilliDuration::ZERO,
        }
    }
}

impl StopSettings {
    pub(crate) fn read(section: SectionReader<'_>) -> Self {
        let default = Self::default();
        let stop = Self {
            list_lag_ms: section.duration_ms("list_lag_ms", default.list_lag_ms, 0..=600_000),
            limit_ms: section.duration_ms("limit_ms", default.limit_ms, 0..=86_400_000),
        };
        section.finish();
        stop
    }
}
