//! Settings of idempotency claims.

use briarrail_model::MilliDuration;
use serde::{Deserialize, Serialize};

/// Settings of idempotency claims.
///
/// The number of buckets and the greatest clock skew must be the same on all routers and never
/// change, so they aren't read from a settings file. All other settings may differ between routers
/// during a rollout; the time before which keys are refused is stored and never decreases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClaimSettings {
    /// Number of buckets.
    #[serde(skip, default = "default_buckets")]
    pub buckets: u32,
    /// Maximum time that an entry router waits for a claim, in milliseconds.
    pub claim_wait_ms: MilliDuration,
    /// Minimum interval between two commits of a bucket, in milliseconds.
    pub commit_interval_ms: MilliDuration,
    /// Maximum time that a report waits to share a commit with a claim, in milliseconds.
    pub report_delay_ms: MilliDuration,
    /// Retention time of claims, in milliseconds.
    pub retention_ms: MilliDuration,
    /// Maximum time that a caller's clock may be ahead, in milliseconds.
    #[serde(skip, default = "default_clock_skew")]
    pub clock_skew_ms: MilliDuration,
    /// Maximum size of an answer body that is stored, in bytes.
    pub answer_limit_bytes: usize,
    /// Head size from which finished claims are moved to a segment, in bytes.
    pub seal_bytes: usize,
    /// Head size from which new claims are refused, in bytes.
    pub head_limit_bytes: usize,
    /// Maximum number of keys without a time per bucket; such keys never expire.
    pub timeless_key_limit: u32,
    /// Time after which a claim without a reported outcome is in doubt, in milliseconds.
    pub open_limit_ms: MilliDuration,
    /// Maximum number of records of one bucket in memory; beyond it, new claims are refused.
    pub record_limit: usize,
    /// Timeout of a store call, after which its reply counts as lost, in milliseconds.
    pub store_timeout_ms: MilliDuration,
    /// Backoff between store calls during an outage, and the retry delay in replies to refused
    /// claims, in milliseconds.
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
