//! Settings of placement in a pool.

use briarrail_model::{MilliDuration, PoolKind, PoolRow, RoutingPreference};

const DEFAULT_STREAM_TIME: MilliDuration = MilliDuration::from_secs(12);
const DEFAULT_REPORT_DELAY: MilliDuration = MilliDuration::from_millis(1_500);
const DEFAULT_JOIN_RAMP: MilliDuration = MilliDuration::from_secs(5);

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
    /// Maximum load of a target as a multiple of the mean load.
    pub skew_bound: f64,
    /// Whether to prefer even load or cache reuse where the two conflict.
    pub preference: RoutingPreference,
    /// Whether the targets report their load.
    pub reports_load: bool,
    /// Whether the targets cache the contexts of chats.
    pub caches_context: bool,
    /// Maximum streams per target, over all routers; 0 for no limit.
    pub max_streams_per_target: u32,
    /// Maximum requests in flight from this router to one target.
    pub max_in_flight_per_target: u32,
    /// Maximum time that a request waits for a target below its load limit.
    pub max_wait: MilliDuration,
    /// Mean duration of a stream.
    pub stream_time: MilliDuration,
    /// Typical age of a load record when it arrives at this router.
    pub report_delay: MilliDuration,
    /// Duration of the ramp-up of a target with a cold cache.
    pub join_ramp: MilliDuration,
}

impl PlacementSettings {
    /// Creates the settings of a pool whose targets cache contexts and report their load.
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
            stream_time: DEFAULT_STREAM_TIME,
            report_delay: DEFAULT_REPORT_DELAY,
            join_ramp: DEFAULT_JOIN_RAMP,
        }
    }

    /// Creates the settings from a row of the pools table.
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

    /// Sets the mean duration of a stream, as measured by the router.
    #[must_use]
    pub const fn stream_time(mut self, stream_time: MilliDuration) -> Self {
        self.stream_time = stream_time;
        self
    }

    /// Sets the typical age of a load record when it arrives, as measured by the router.
    #[must_use]
    pub const fn report_delay(mut self, report_delay: MilliDuration) -> Self {
        self.report_delay = report_delay;
        self
    }
}
