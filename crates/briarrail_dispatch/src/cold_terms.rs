//! How many requests a cold target of a service may get.

use briarrail_model::{MilliDuration, MilliTime};

/// Fraction of the bound that stays unassigned, for routers that know different lists of the fleet
/// for a while.
const RESERVE_FRACTION: f32 = 0.1;
/// Time after its end over which the bound of a cold target is raised step by step; a few rounds of
/// the exchange, after which the load is known everywhere.
const RAMP_UP_TIME: MilliDuration = MilliDuration::from_millis(2_000);
/// Time in which the bound doubles during the ramp-up.
const RAMP_UP_STEP: MilliDuration = MilliDuration::from_millis(500);

/// Bound on the requests to a cold target of a service, summed over all routers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdTerms {
    /// Time for which a target is cold after it starts.
    pub start_time: MilliDuration,
    /// Requests that a cold target may get in any second.
    max_per_s: u32,
}

impl ColdTerms {
    /// Creates the terms of a service whose cold targets take `rate_per_s` requests per second, of
    /// which `overrun` times as many and `slack` more are tolerated; `None` without a rate.
    #[must_use]
    pub fn new(
        start_time: MilliDuration,
        rate_per_s: f32,
        overrun: f32,
        slack: f32,
    ) -> Option<Self> {
        let max_per_s = rate_per_s.mul_add(overrun, slack);
        (rate_per_s > 0.0 && max_per_s >= 1.0).then_some(Self {
            start_time,
            max_per_s: max_per_s as u32,
        })
    }

    /// Returns how many requests per second the routers divide among themselves for a target that is
    /// or was cold, or `None` if it has been warm for long enough.
    #[must_use]
    pub fn divided_per_s(&self, cold_until: MilliTime, now: MilliTime) -> Option<u32> {
        let reserve = (self.max_per_s as f32 * RESERVE_FRACTION) as u32;
        let divided = self.max_per_s - reserve;
        if now < cold_until {
            return Some(divided);
        }
        let elapsed = now.since(cold_until);
        let steps = elapsed.as_millis() / RAMP_UP_STEP.as_millis() + 1;
        (elapsed < RAMP_UP_TIME).then(|| divided.saturating_mul(1 << steps))
    }
}
