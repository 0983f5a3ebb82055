//! Sizes of the sites.

use briarrail_model::RoutingPreference;

/// Sizes of one pool at one site.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SiteShape {
    pub(crate) name: &'static str,
    pub(crate) engines: usize,
    pub(crate) data_centres: usize,
    pub(crate) routers: usize,
    /// Time between two views of a router, in tenths of a second.
    pub(crate) refresh_ticks: u64,
    /// Pools of this shape that a router serves.
    pub(crate) pools: usize,
    pub(crate) customers: usize,
    /// Mean streams of an engine.
    pub(crate) streams: f64,
    pub(crate) skew_bound: f64,
    pub(crate) preference: RoutingPreference,
}

/// Mean time of a stream: first token and 253 tokens of 44 ms.
pub(crate) const STREAM_SECONDS: f64 = 12.6;
/// Mean time after which an active chat returns.
pub(crate) const RETURN_SECONDS: f64 = 120.0;
/// Slots of an engine as a multiple of its mean streams.
pub(crate) const CAPACITY_RATIO: f64 = 1.5;

impl SiteShape {
    /// Returns the shape of a site by its name.
    pub(crate) fn named(name: &str) -> Option<Self> {
        let small = Self {
            name: "saltworks",
            engines: 12,
            data_centres: 4,
            routers: 9,
            refresh_ticks: 2,
            pools: 1,
            customers: 10,
            streams: 64.0,
            skew_bound: 1.4,
            preference: RoutingPreference::EvenLoad,
        };
        match name {
            "saltworks" => Some(small),
            "smilsu" => Some(Self {
                name: "smilsu",
                data_centres: 3,
                skew_bound: 1.6,
                preference: RoutingPreference::CacheReuse,
                ..small
            }),
            "target" => Some(Self {
                name: "target",
                engines: 312,
                routers: 900,
                refresh_ticks: 10,
                pools: 8,
                customers: 44_000,
                streams: 180.0,
                ..small
            }),
            _ => None,
        }
    }

    /// Returns requests a second without a surge.
    pub(crate) fn request_rate(&self) -> f64 {
        self.engines as f64 * self.streams / STREAM_SECONDS
    }

    /// Returns the slots of an engine.
    pub(crate) fn slots(&self) -> u32 {
        (self.streams * CAPACITY_RATIO).round() as u32
    }

    /// Returns the part of each customer; the first is the largest.
    pub(crate) fn customer_weights(&self) -> Vec<f64> {
        let large = [0.25, 0.2, 0.15];
        let weights: Vec<f64> = if self.customers <= 10 {
            let rest = 0.4 / (self.customers - large.len()) as f64;
            let small = (large.len()..self.customers).map(|_| rest);
            large.into_iter().chain(small).collect()
        } else {
            (1..=self.customers).map(|rank| 1.0 / rank as f64).collect()
        };
        let total: f64 = weights.iter().sum();
        weights.into_iter().map(|weight| weight / total).collect()
    }
}
