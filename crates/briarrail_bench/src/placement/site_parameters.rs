//! Parameters of the simulated sites.

use briarrail_model::RoutingPreference;

/// Size and routing settings of one pool at one site.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SiteParameters {
    pub(crate) name: &'static str,
    pub(crate) engines: usize,
    pub(crate) data_centres: usize,
    pub(crate) routers: usize,
    /// Ticks of 100 ms between two refreshes of a router's view.
    pub(crate) refresh_interval_ticks: u64,
    /// Number of equal pools that a router serves.
    pub(crate) pools: usize,
    pub(crate) customers: usize,
    /// Mean number of concurrent streams on an engine.
    pub(crate) mean_streams: f64,
    pub(crate) skew_bound: f64,
    pub(crate) preference: RoutingPreference,
}

/// Mean duration of a stream: the first token, then 253 tokens of 44 ms each.
pub(crate) const MEAN_STREAM_SECONDS: f64 = 12.6;
/// Mean time between two turns of an active chat.
pub(crate) const MEAN_CHAT_RETURN_SECONDS: f64 = 120.0;
/// Slots of an engine per mean concurrent stream.
pub(crate) const SLOTS_PER_MEAN_STREAM: f64 = 1.5;

impl SiteParameters {
    /// Returns the parameters of the named site.
    pub(crate) fn by_name(name: &str) -> Option<Self> {
        let small = Self {
            name: "saltworks",
            engines: 12,
            data_centres: 4,
            routers: 9,
            refresh_interval_ticks: 2,
            pools: 1,
            customers: 10,
            mean_streams: 64.0,
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
                refresh_interval_ticks: 10,
                pools: 8,
                customers: 44_000,
                mean_streams: 180.0,
                ..small
            }),
            _ => None,
        }
    }

    /// Returns the requests per second without a surge.
    pub(crate) fn request_rate(&self) -> f64 {
        self.engines as f64 * self.mean_streams / MEAN_STREAM_SECONDS
    }

    /// Returns the number of streams that an engine runs at once.
    pub(crate) fn slots(&self) -> u32 {
        (self.mean_streams * SLOTS_PER_MEAN_STREAM).round() as u32
    }

    /// Returns each customer's share of the requests, the largest first.
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
