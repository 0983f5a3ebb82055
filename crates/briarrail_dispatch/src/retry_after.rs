//! Retry delays for rejected requests.

use briarrail_model::{MilliDuration, StableHash};

/// Why a request is rejected without having been executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// All targets are at capacity.
    AtCapacity,
    /// No target can be reached.
    NoTarget,
    /// The router has no configuration yet or is shutting down; another router can serve the
    /// request.
    RouterUnavailable,
}

/// Time in which a service at capacity works off a good part of its queue.
const AT_CAPACITY_DELAY: MilliDuration = MilliDuration::from_millis(300);
/// Covers the time until a restarting target is discovered.
const NO_TARGET_DELAY: MilliDuration = MilliDuration::from_millis(500);
/// Short, because a new connection reaches another router.
const ROUTER_UNAVAILABLE_DELAY: MilliDuration = MilliDuration::from_millis(20);
/// Maximum jitter as a fraction of the delay.
const MAX_JITTER_RATIO: f64 = 0.5;

/// Returns the delay after which the caller should retry.
///
/// Jitter derived from `seed` spreads the retries of callers that are rejected at the same moment.
#[must_use]
pub fn retry_after(cause: RefusalCause, seed: StableHash) -> MilliDuration {
    let base = match cause {
        RefusalCause::AtCapacity => AT_CAPACITY_DELAY,
        RefusalCause::NoTarget => NO_TARGET_DELAY,
        RefusalCause::RouterUnavailable => ROUTER_UNAVAILABLE_DELAY,
    };
    let jitter = (seed.0 >> 40) as f64 / (1_u64 << 24) as f64;
    let millis = base.as_millis() as f64 * MAX_JITTER_RATIO.mul_add(jitter, 1.0);
    MilliDuration::from_millis(millis as u64)
}
