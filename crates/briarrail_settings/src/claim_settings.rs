//! Claims on idempotency keys.

use briarrail_model::MilliDuration;

use crate::section_reader::SectionReader;

/// How claims on idempotency keys are stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Number of claim buckets; equal on all routers.
    pub buckets: u64,
    /// Longest time that a claim waits for others to share its write, in milliseconds.
    pub batch_ms: MilliDuration,
    /// Time for which keys are remembered, in milliseconds.
    pub retention_ms: MilliDuration,
    /// Time that a claim may take to become durable, in milliseconds.
    pub store_timeout_ms: MilliDuration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            buckets: 64,
            batch_ms: MilliDuration::from_millis(100),
            retention_ms: MilliDuration::from_secs(24 * 3_600),
            store_timeout_ms: MilliDuration::from_secs(2),
        }
    }
}

impl ClaimSettings {
    pub(crate) fn read(section: SectionReader<'_>) -> Self {
        let default = Self::default();
        let retention = default.retention_ms;
        let store_timeout = default.store_timeout_ms;
        let claims = Self {
            buckets: section.number("buckets", default.buckets, 1..=1_024),
            batch_ms: section.millis("batch_ms", default.batch_ms, 1..=5_000),
            retention_ms: section.millis("retention_ms", retention, 60_000..=2_592_000_000),
            store_timeout_ms: section.millis("store_timeout_ms", store_timeout, 1..=60_000),
        };
        section.finish();
        claims
    }
}
