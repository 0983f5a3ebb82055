//! Request limits of a pool.

use serde::{Deserialize, Serialize};

use crate::MilliDuration;

/// Limits that a router enforces on the requests of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PoolLimits {
    /// Maximum number of requests in flight from one router to one target.
    pub max_in_flight_per_target: u32,
    /// Maximum number of streams on one target, over all routers; 0 means no limit.
    pub max_streams_per_target: u32,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum time to wait for a target below the skew bound, in milliseconds.
    pub max_wait_ms: MilliDuration,
    /// Maximum number of targets to try for an idempotent call.
    pub max_attempts: u32,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self {
            max_in_flight_per_target: 512,
            max_streams_per_target: 0,
            max_body_bytes: 2 << 20,
            max_wait_ms: MilliDuration::from_millis(2_000),
            max_attempts: 3,
        }
    }
}
