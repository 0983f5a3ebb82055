//! Claims on idempotency keys.

use briarrail_model::MilliDuration;

use crate::section_reader::SectionReader;

/// How claims on idempotency keys are written and retained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Maximum time that a request waits for its claim, in milliseconds.
    pub wait_ms: MilliDuration,
    /// Minimum time between two writes of the same bucket, in milliseconds.
    pub batch_ms: MilliDuration,
    /// Time for which keys are retained, in milliseconds.
    pub retention_ms: MilliDuration,
    /// Timeout of one object API call for a claim, in milliseconds.
    pub store_timeout_ms: MilliDuration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            wait_ms: MilliDuration::from_millis(450),
            batch_ms: MilliDuration::from_millis(250),
            retention_ms: MilliDuration::from_secs(24 * 3_600),
            store_timeout_ms: MilliDuration::from_millis(150),
        }
    }
}

impl ClaimSettings {
    pub(crate) fn read(section: SectionReader<'_>) -> Self {
        let default = Self::default();
        let retention = default.retention_ms;
        let store_timeout = default.store_timeout_ms;
        let claims = Self {
            wait_ms: section.duration_ms("wait_ms", default.wait_ms, 1..=60_000),
            batch_ms: section.duration_ms("batch_ms", default.batch_ms, 1..=5_000),
            retention_ms: section.duration_ms("retention_ms", retention, 60_000..=2_592_000_000),
            store_timeout_ms: section.duration_ms("store_timeout_ms", store_timeout, 1..=60_000),
        };
        section.finish();
        claims
    }
}
