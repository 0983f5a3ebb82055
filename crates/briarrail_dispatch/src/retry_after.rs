//! When a refused caller should come back.

use briarrail_model::{MilliDuration, StableHash};

/// Why a request is refused without having run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// All targets are at their limit.
    AtCapacity,
    /// No target can be reached.
    NoTarget,
    /// The router has no configuration yet, or stops; another router serves at once.
    RouterUnavailable,
}

/// Wait after which a full service has served a good part of its queue.
const AT_CAPACITY_DELAY: MilliDuration = MilliDuration::from_millis(300);
/// Wait that covers the discovery of a target that restarts.
const NO_TARGET_DELAY: MilliDuration = MilliDuration::from_millis(500);
/// A new connection reaches another router, so hardly any wait is due.
const ROUTER_UNAVAILABLE_DELAY: MilliDuration = MilliDuration::from_millis(20);
/// Largest part of the wait by which returns are spread.
const MAX_JITTER_RATIO: f64 = 0.5;

/// Returns the time after which the caller should come back.
///
/// Returns are spread by `seed`, so that callers refused together don't come back together.
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
