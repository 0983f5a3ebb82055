//! Settings of the claims.

use briarrail_model::MilliDuration;
use serde::{Deserialize, Serialize};

/// Settings of the claims.
///
/// What must be alike on all routers and for ever is not read from a settings file: the number of
/// buckets and the greatest lead of a caller's clock. The rest may differ while a change is rolled
/// out; the time before which keys are refused is durable and never falls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClaimSettings {
    /// Number of buckets.
    #[serde(skip, default = "default_buckets")]
    pub buckets: u32,
    /// Longest time that an entry router waits for a claim, in milliseconds.
    pub claim_wait_ms: MilliDuration,
    /// Least time between two writes of a bucket's head, in milliseconds.
    pub commit_interval_ms: MilliDuration,
    /// Longest time that an outcome waits for a claim to share a write with, in milliseconds.
    pub report_delay_ms: MilliDuration,
    /// Time for which claims are kept, in milliseconds.
    pub retention_ms: MilliDuration,
    /// Greatest lead of a caller's clock, in milliseconds.
    #[serde(skip, default = "default_clock_skew")]
    pub clock_skew_ms: MilliDuration,
    /// Largest answer body that is kept, in bytes.
    pub answer_limit_bytes: usize,
    /// Size of a head above which finished claims move to a segment, in bytes.
    pub seal_bytes: usize,
    /// Size of a head above which new claims are refused, in bytes.
    pub head_limit_bytes: usize,
    /// Keys without a time that one bucket takes; they are never forgotten.
    pub timeless_key_limit: u32,
    /// Time after which a claim without outcome counts as in doubt, in milliseconds.
    pub open_limit_ms: MilliDuration,
    /// Records that one bucket holds in memory; new claims are refused above it.
    pub record_limit: usize,
    /// Time after which the caller of the store takes a reply for lost, in milliseconds.
    pub store_timeout_ms: MilliDuration,
    /// Pause after the store refused a call, in milliseconds.
    pub store_pause_ms: MilliDuration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            buckets: default_buckets(),
            claim_wait_ms: MilliDuration::from_millis(450),
            commit_interval_ms: MilliDuration::from_millis(250),
            report_delay_ms: MilliDuration::from_millis(1_000),
            retention_ms: MilliDuration::from_secs(24 * 3_600),
            clock_skew_ms: default_clock_skew(),
            answer_limit_bytes: 2_048,
            seal_bytes: 64 * 1_024,
            head_limit_bytes: 768 * 1_024,
            timeless_key_limit: 10_000,
            open_limit_ms: MilliDuration::from_secs(120),
            record_limit: 250_000,
            store_timeout_ms: MilliDuration::from_millis(150),
            store_pause_ms: MilliDuration::from_millis(500),
        }
    }
}

const fn default_buckets() -> u32 {
    64
}

const fn default_clock_skew() -> MilliDuration {
    MilliDuration::from_secs(60)
}
