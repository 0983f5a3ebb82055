//! Settings of placement in a pool.

use briarrail_model::{MilliDuration, PoolKind, PoolRow, RoutingPreference};

const STREAM_TIME: MilliDuration = MilliDuration::from_secs(12);
const REPORT_DELAY: MilliDuration = MilliDuration::from_millis(1_500);
const JOIN_RAMP: MilliDuration = MilliDuration::from_secs(5);

/// Settings of placement in a pool.
///
/// ```
/// use briarrail_model::RoutingPreference;
/// use briarrail_policy::PlacementSettings;
///
/// let settings = PlacementSettings::new(1.4, RoutingPreference::EvenLoad);
/// assert_eq!(settings.skew_bound, 1.4);
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementSettings {
    /// Greatest multiple of the mean load that a target may carry.
    pub skew_bound: f64,
    /// What to prefer where even load and cache reuse disagree.
    pub preference: RoutingPreference,
    /// Whether the targets report their load.
    pub reports_load: bool,
    /// Whether chats of the pool have a home target that caches their context.
    pub caches_context: bool,
    /// Streams that one target may hold, over all routers; 0 for no limit.
    pub max_streams_per_target: u32,
    /// Requests in flight from this router to one target.
    pub max_in_flight_per_target: u32,
    /// Longest wait for a target below its bound.
    pub max_wait: MilliDuration,
    /// Mean time that a stream stays at a target.
    pub stream_time: MilliDuration,
    /// Usual age of a load record when it arrives at this router.
    pub report_delay: MilliDuration,
    /// Time over which a target with a cold cache takes up its share.
    pub join_ramp: MilliDuration,
}

impl PlacementSettings {
    /// Makes the settings of a pool whose engines cache contexts and report their load.
    #[must_use]
    pub fn new(skew_bound: f64, preference: RoutingPreference) -> Self {
        Self {
            skew_bound,
            preference,
            reports_load: true,
            caches_context: true,
            max_streams_per_target: 0,
            max_in_flight_per_target: u32::MAX,
            max_wait: MilliDuration::from_secs(2),
            stream_time: STREAM_TIME,
            report_delay: REPORT_DELAY,
            join_ramp: JOIN_RAMP,
        }
    }

    /// Makes the settings that a row of the pools table asks for.
    #[must_use]
    pub fn from_pool(pool: &PoolRow) -> Self {
        Self {
            reports_load: pool.reports_load,
            caches_context: pool.kind == PoolKind::Model,
            max_streams_per_target: pool.limits.max_streams_per_target,
            max_in_flight_per_target: pool.limits.max_in_flight_per_target,
            max_wait: pool.limits.max_wait_ms,
            ..Self::new(pool.skew_bound, pool.preference)
        }
    }

    /// Sets the mean time that a stream stays at a target, as the router measures it.
    #[must_use]
    pub const fn stream_time(mut self, stream_time: MilliDuration) -> Self {
        self.stream_time = stream_time;
        self
    }

    /// Sets the usual age of a load record when it arrives, as the router measures it.
    #[must_use]
    pub const fn report_delay(mut self, report_delay: MilliDuration) -> Self {
        self.report_delay = report_delay;
        self
    }
}
