//! The result of one case.

use serde::Serialize;

const MAX_CONFIG_S: f64 = 6.0;
const MAX_LEAVING_S: f64 = 3.0;
const MAX_CONTROL_BYTES_S: f64 = 5_000.0;
const MAX_READS_S: f64 = 500.0;
const MAX_WRITES_S: f64 = 100.0;

/// Figures of one case, and the bounds that it broke.
#[derive(Debug, Default, Serialize)]
pub(crate) struct CaseReport {
    pub(crate) scenario: &'static str,
    pub(crate) routers: usize,
    pub(crate) seed: u64,
    pub(crate) baseline: bool,
    pub(crate) seconds: u64,
    pub(crate) config_s_p50: f64,
    pub(crate) config_s_max: f64,
    pub(crate) behind_at_end: usize,
    pub(crate) leaving_s_max: f64,
    pub(crate) control_bytes_per_router_s_mean: f64,
    pub(crate) control_bytes_per_router_s_max: f64,
    /// Highest bytes a second of one router in any window of 10 s; no bound is set on it.
    pub(crate) control_bytes_worst_window: f64,
    /// Part of the bytes that reads of targets and of the platform take, a second and router.
    pub(crate) read_bytes_per_router_s: f64,
    /// Watches, reads of the configuration and of the host list, a second.
    pub(crate) reads_per_s: f64,
    pub(crate) writes_per_s: f64,
    pub(crate) cpu_us_per_router_s: f64,
    /// Growth of the resident set, a router.
    pub(crate) state_bytes: u64,
    pub(crate) false_suspicions: u64,
    pub(crate) reverts: u64,
    /// Difference between the streams that routers know and the true ones, over their mean, for
    /// targets above the mean.
    pub(crate) load_error_p50: f64,
    pub(crate) load_error_p99: f64,
    /// Load records received that were known, against those that were new.
    pub(crate) duplicate_load_part: f64,
    pub(crate) broken: Vec<&'static str>,
}

impl CaseReport {
    /// Compares the figures with the bounds of the target.
    pub(crate) fn check(mut self) -> Self {
        let bounds = [
            ("config_s_max", self.config_s_max > MAX_CONFIG_S),
            ("behind_at_end", self.behind_at_end > 0),
            ("leaving_s_max", self.leaving_s_max > MAX_LEAVING_S),
            (
                "control_bytes_per_router_s_max",
                self.control_bytes_per_router_s_max > MAX_CONTROL_BYTES_S,
            ),
            ("reads_per_s", self.reads_per_s > MAX_READS_S),
            ("writes_per_s", self.writes_per_s > MAX_WRITES_S),
            ("reverts", self.reverts > 0),
        ];
        let broken = bounds.into_iter().filter(|(_, is_broken)| *is_broken);
        self.broken = broken.map(|(name, _)| name).collect();
        self
    }
}
