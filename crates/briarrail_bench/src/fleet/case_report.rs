//! Report of a fleet case.

use serde::Serialize;

const MAX_CONFIG_DELAY_S: f64 = 6.0;
const MAX_LEAVING_DELAY_S: f64 = 3.0;
const MAX_CONTROL_BYTES_PER_S: f64 = 5_000.0;
const MAX_READS_PER_S: f64 = 500.0;
const MAX_WRITES_PER_S: f64 = 100.0;

/// Measurements of one case and the bounds that it exceeded.
#[derive(Debug, Default, Serialize)]
pub(crate) struct CaseReport {
    pub(crate) scenario: &'static str,
    pub(crate) routers: usize,
    pub(crate) seed: u64,
    pub(crate) baseline: bool,
    pub(crate) seconds: u64,
    pub(crate) config_s_p50: f64,
    pub(crate) config_s_max: f64,
    /// Reachable routers that had not adopted every settled edit at the end.
    pub(crate) behind_at_end: usize,
    pub(crate) leaving_s_max: f64,
    pub(crate) control_bytes_per_router_s_mean: f64,
    pub(crate) control_bytes_per_router_s_max: f64,
    /// Highest bytes per second of one router in any window of 10 s; it has no bound.
    pub(crate) control_bytes_worst_window: f64,
    /// Control bytes of reads of targets and the platform, per router and second.
    pub(crate) read_bytes_per_router_s: f64,
    /// Watches and reads of the configuration and the host list, per second.
    pub(crate) reads_per_s: f64,
    pub(crate) writes_per_s: f64,
    pub(crate) cpu_us_per_router_s: f64,
    /// Growth of the resident set per router.
    pub(crate) state_bytes: u64,
    pub(crate) false_suspicions: u64,
    /// Number of times that a router adopted a configuration no newer than its current one.
    pub(crate) reverts: u64,
    /// Difference between the known and the actual streams of targets above the mean load, as a
    /// multiple of the mean.
    pub(crate) load_error_p50: f64,
    pub(crate) load_error_p99: f64,
    /// Fraction of the received load records that were already known.
    pub(crate) duplicate_load_part: f64,
    /// Names of the exceeded bounds.
    pub(crate) broken: Vec<&'static str>,
}

impl CaseReport {
    /// Fills in the names of the exceeded bounds.
    pub(crate) fn check(mut self) -> Self {
        let bounds = [
            ("config_s_max", self.config_s_max > MAX_CONFIG_DELAY_S),
            ("behind_at_end", self.behind_at_end > 0),
            ("leaving_s_max", self.leaving_s_max > MAX_LEAVING_DELAY_S),
            (
                "control_bytes_per_router_s_max",
                self.control_bytes_per_router_s_max > MAX_CONTROL_BYTES_PER_S,
            ),
            ("reads_per_s", self.reads_per_s > MAX_READS_PER_S),
            ("writes_per_s", self.writes_per_s > MAX_WRITES_PER_S),
            ("reverts", self.reverts > 0),
        ];
        let broken = bounds.into_iter().filter(|(_, is_exceeded)| *is_exceeded);
        self.broken = broken.map(|(name, _)| name).collect();
        self
    }
}
