//! Loads at which a target sheds work.

use briarrail_model::RoutingPreference;

use crate::PlacementSettings;

/// Deviations between the load at which chats are shed and the promised bound.
const GUARD_DEVIATIONS: f32 = 3.9;
/// Deviations between the load at which every request is held back and the promised bound.
const PROMISE_DEVIATIONS: f32 = 2.5;
/// Streams above the mean that a target may always take; the bound starts to count above them.
const FREE_STREAMS: f32 = 4.0;
/// Least multiple of the mean from which on chats are shed.
const MIN_SHED_RATIO: f32 = 1.0;
const EVEN_LOAD_AIM: f32 = 0.45;
const EVEN_LOAD_BAND: f32 = 0.03;
const CACHE_REUSE_AIM: f32 = 0.9;
const CACHE_REUSE_BAND: f32 = 0.03;

/// Loads at which one target sheds work, in streams.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ShedLimits {
    pub(crate) shed: f32,
    pub(crate) promise: f32,
    pub(crate) band: f32,
}

impl ShedLimits {
    /// Returns the limits of a target whose load is known to within `deviation` streams.
    pub(crate) fn new(settings: &PlacementSettings, mean: f32, deviation: f32) -> Self {
        let bound = settings.skew_bound as f32;
        let (aim, band) = match settings.preference {
            RoutingPreference::EvenLoad => (EVEN_LOAD_AIM, EVEN_LOAD_BAND),
            RoutingPreference::CacheReuse => (CACHE_REUSE_AIM, CACHE_REUSE_BAND),
        };
        let aimed = mean * (1.0 + aim * (bound - 1.0));
        let ceiling = Self::ceiling(settings, bound * mean);
        let guarded = ceiling - GUARD_DEVIATIONS * deviation;
        let shed = guarded.min(aimed).max(mean * (MIN_SHED_RATIO + band));
        let promise = (ceiling - PROMISE_DEVIATIONS * deviation).max(shed);
        let free = Self::ceiling(settings, mean + FREE_STREAMS);
        Self {
            shed: shed.max(free),
            promise: promise.max(free),
            band: (band * mean).max(1.0),
        }
    }

    fn ceiling(settings: &PlacementSettings, load: f32) -> f32 {
        match settings.max_streams_per_target {
            0 => load,
            limit => load.min(limit as f32),
        }
    }
}
