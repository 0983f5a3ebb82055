//! Retry delays for rejected requests.

use briarrail_model::{MilliDuration, StableHash};

/// Why a request is rejected without having been executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// The service is asked for more than its targets can execute; contains the latency objective of
    /// the request.
    AtCapacity(MilliDuration),
    /// No target can be reached.
    NoTarget,
    /// All targets that could serve the request have asked for a pause; contains the time that is
    /// left of it.
    TargetsPaused(MilliDuration),
    /// The router has no configuration yet or is shutting down; another router can serve the
    /// request.
    RouterUnavailable,
    /// The request or a part of its prompt is blocked for the given time, because it crashes targets.
    SuspectBlocked(MilliDuration),
}

/// Delay while a service is at capacity and its jitter, as fractions of the objective. A caller that
/// returns in this time can still be on time, while a longer delay is no shorter than the overload
/// in most cases.
const AT_CAPACITY_DELAY_RATIO: f64 = 0.05;
const AT_CAPACITY_JITTER_RATIO: f64 = 0.4;
/// Covers the time until a restarting target is discovered.
const NO_TARGET_DELAY: MilliDuration = MilliDuration::from_millis(500);
/// Short, because a new connection reaches another router.
const ROUTER_UNAVAILABLE_DELAY: MilliDuration = MilliDuration::from_millis(20);
/// Minimum jitter after a pause of the targets; those that are refused at its end must not all come
/// back in the same moment.
const MIN_PAUSE_JITTER: MilliDuration = MilliDuration::from_millis(1_000);
/// Maximum jitter as a fraction of the delay, if it does not depend on an objective.
const MAX_JITTER_RATIO: f64 = 0.5;

/// Returns the delay after which the caller should retry.
///
/// Jitter derived from `seed` spreads the retries of callers that are rejected at the same moment.
#[must_use]
pub fn retry_after(cause: RefusalCause, seed: StableHash) -> MilliDuration {
    let (base, jitter) = match cause {
        RefusalCause::AtCapacity(objective) => at_capacity_delay(objective),
        RefusalCause::NoTarget => with_usual_jitter(NO_TARGET_DELAY),
        RefusalCause::TargetsPaused(remaining) => {
            let (base, jitter) = with_usual_jitter(remaining);
            (base, jitter.max(MIN_PAUSE_JITTER.as_millis() as f64))
        }
        RefusalCause::RouterUnavailable => with_usual_jitter(ROUTER_UNAVAILABLE_DELAY),
        RefusalCause::SuspectBlocked(remaining) => with_usual_jitter(remaining),
    };
    let fraction = (seed.0 >> 40) as f64 / (1_u64 << 24) as f64;
    MilliDuration::from_millis(jitter.mul_add(fraction, base) as u64)
}

/// Returns the minimum delay and its jitter at capacity, in milliseconds.
fn at_capacity_delay(objective: MilliDuration) -> (f64, f64) {
    let objective_ms = objective.as_millis() as f64;
    (
        objective_ms * AT_CAPACITY_DELAY_RATIO,
        objective_ms * AT_CAPACITY_JITTER_RATIO,
    )
}

fn with_usual_jitter(delay: MilliDuration) -> (f64, f64) {
    let base = delay.as_millis() as f64;
    (base, base * MAX_JITTER_RATIO)
}
