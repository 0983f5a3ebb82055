//! Load limits of targets.

use briarrail_model::RoutingPreference;

use crate::PlacementSettings;

/// Distance between the shed limit and the skew bound, in standard deviations of the forecast.
const SHED_STD_DEVS: f32 = 3.9;
/// Distance between the hard limit and the skew bound, in standard deviations of the forecast.
const HARD_STD_DEVS: f32 = 2.5;
/// Streams above the mean load that a target may always take; the skew bound applies only above
/// this.
const MIN_HEADROOM_STREAMS: f32 = 4.0;
/// Multiple of the mean load below which no chats are shed.
const MIN_SHED_RATIO: f32 = 1.0;
/// Position of the shed limit between the mean load (0) and the skew bound (1), for even load.
const EVEN_LOAD_SHED_FRACTION: f32 = 0.45;
/// Width of the shed band as a multiple of the mean load, for even load.
const EVEN_LOAD_BAND_RATIO: f32 = 0.03;
/// Position of the shed limit between the mean load (0) and the skew bound (1), for cache reuse.
const CACHE_REUSE_SHED_FRACTION: f32 = 0.9;
/// Width of the shed band as a multiple of the mean load, for cache reuse.
const CACHE_REUSE_BAND_RATIO: f32 = 0.03;

/// Load limits of one target, in streams.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LoadLimits {
    /// Load at which the target accepts no more chats.
    pub(crate) shed_limit: f32,
    /// Load at which the target accepts no more requests.
    pub(crate) hard_limit: f32,
    /// Width of the band below the shed limit in which only a fraction of the chats is kept.
    pub(crate) shed_band: f32,
}

impl LoadLimits {
    /// Returns the limits of a target whose load has a standard deviation of `std_dev` streams.
    pub(crate) fn new(settings: &PlacementSettings, mean_load: f32, std_dev: f32) -> Self {
        let bound = settings.skew_bound as f32;
        let (shed_fraction, band_ratio) = match settings.preference {
            RoutingPreference::EvenLoad => (EVEN_LOAD_SHED_FRACTION, EVEN_LOAD_BAND_RATIO),
            RoutingPreference::CacheReuse => (CACHE_REUSE_SHED_FRACTION, CACHE_REUSE_BAND_RATIO),
        };
        let preferred = mean_load * (1.0 + shed_fraction * (bound - 1.0));
        let upper_limit = Self::cap_to_stream_limit(settings, bound * mean_load);
        let guarded = upper_limit - SHED_STD_DEVS * std_dev;
        let shed_limit = guarded
            .min(preferred)
            .max(mean_load * (MIN_SHED_RATIO + band_ratio));
        let hard_limit = (upper_limit - HARD_STD_DEVS * std_dev).max(shed_limit);
        let floor = Self::cap_to_stream_limit(settings, mean_load + MIN_HEADROOM_STREAMS);
        Self {
            shed_limit: shed_limit.max(floor),
            hard_limit: hard_limit.max(floor),
            shed_band: (band_ratio * mean_load).max(1.0),
        }
    }

    /// Caps a load to the configured number of streams per target.
    fn cap_to_stream_limit(settings: &PlacementSettings, load: f32) -> f32 {
        match settings.max_streams_per_target {
            0 => load,
            limit => load.min(limit as f32),
        }
    }
}
