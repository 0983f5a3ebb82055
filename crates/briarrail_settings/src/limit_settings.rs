//! Limits that protect the router.

use briarrail_model::MilliDuration;

use crate::section_reader::SectionReader;

/// Limits on callers and connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitSettings {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: u64,
    /// Maximum size of a request body, in bytes; pools may set a lower limit.
    pub max_body_bytes: u64,
    /// Maximum size of an answer that is stored for repeated idempotency keys, in bytes.
    pub max_answer_kept_bytes: u64,
    /// Timeout for reading a caller's request, in milliseconds.
    pub caller_read_timeout_ms: MilliDuration,
    /// Timeout for connecting to a target, in milliseconds.
    pub connect_timeout_ms: MilliDuration,
    /// Maximum number of concurrent requests.
    pub max_streams: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            max_answer_kept_bytes: 4 << 10,
            caller_read_timeout_ms: MilliDuration::from_secs(10),
            connect_timeout_ms: MilliDuration::from_millis(500),
            max_streams: 4_096,
        }
    }
}

impl LimitSettings {
    pub(crate) fn read(section: SectionReader<'_>) -> Self {
        let default = Self::default();
        let max_stored = default.max_answer_kept_bytes;
        let read_timeout = default.caller_read_timeout_ms;
        let connect_timeout = default.connect_timeout_ms;
        let limits = Self {
            max_head_bytes: section.integer(
                "max_head_bytes",
                default.max_head_bytes,
                1_024..=1 << 20,
            ),
            max_body_bytes: section.integer("max_body_bytes", default.max_body_bytes, 1..=1 << 30),
            max_answer_kept_bytes: section.integer(
                "max_answer_kept_bytes",
                max_stored,
                0..=64 << 10,
            ),
            caller_read_timeout_ms: section.duration_ms(
                "caller_read_timeout_ms",
                read_timeout,
                1..=600_000,
            ),
            connect_timeout_ms: section.duration_ms(
                "connect_timeout_ms",
                connect_timeout,
                1..=60_000,
            ),
            max_streams: section.integer("max_streams", default.max_streams, 1..=1_000_000),
        };
        section.finish();
        limits
    }
}
