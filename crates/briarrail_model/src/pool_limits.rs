//! Limits of a pool.

use serde::{Deserialize, Serialize};

use crate::MilliDuration;

/// Limits that a router applies to the requests of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PoolLimits {
    /// Requests in flight from one router to one target.
    pub max_in_flight_per_target: u32,
    /// Streams that one target may hold, over all routers; 0 for no limit.
    pub max_streams_per_target: u32,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Longest wait for a target under the skew bound, in milliseconds.
    pub max_wait_ms: MilliDuration,
    /// Targets that an idempotent call is tried on.
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
