//! Scenarios: frame loss, partitions, outages and restarts.

use crate::fleet::fleet_simulation::RouterLocation;

/// Virtual seconds before the measurement starts.
pub(crate) const WARM_UP_S: u64 = 20;

/// Faults of a case; times are seconds since its start.
#[derive(Debug, Clone)]
pub(crate) struct FleetScenario {
    pub(crate) name: &'static str,
    pub(crate) measured_s: u64,
    /// Probability that a frame is lost.
    pub(crate) loss: f64,
    /// Time from which on data centre 0 is unreachable for the rest of the case.
    pub(crate) data_centre_loss_at_s: Option<u64>,
    /// Time at which all routers of data centre 0 restart.
    pub(crate) data_centre_restart_at_s: Option<u64>,
    /// Span in which region 0 reaches neither the other regions nor the platform.
    pub(crate) region_partition_s: Option<(u64, u64)>,
    /// Span in which the platform does not answer.
    pub(crate) store_outage_s: Option<(u64, u64)>,
    /// Span in which one router in a hundred, but at least one, is unresponsive.
    pub(crate) router_pause_s: Option<(u64, u64)>,
}

impl FleetScenario {
    fn steady(seconds: u64) -> Self {
        Self {
            name: "steady",
            measured_s: seconds,
            loss: 0.0,
            data_centre_loss_at_s: None,
            data_centre_restart_at_s: None,
            region_partition_s: None,
            store_outage_s: None,
            router_pause_s: None,
        }
    }

    /// Returns all scenarios; those without a fixed duration are measured for `seconds`.
    pub(crate) fn all(seconds: u64) -> Vec<Self> {
        let steady = Self::steady(seconds);
        let base = steady.clone();
        vec![
            steady,
            Self {
                name: "loss",
                loss: 0.05,
                ..base.clone()
            },
            Self {
                name: "cell_gone",
                data_centre_loss_at_s: Some(30),
                ..base.clone()
            },
            Self {
                name: "cell_restart",
                data_centre_restart_at_s: Some(30),
                ..base.clone()
            },
            Self {
                name: "pause",
                router_pause_s: Some((30, 35)),
                ..base.clone()
            },
            Self {
                name: "region_cut",
                measured_s: 230,
                region_partition_s: Some((30, 210)),
                ..base.clone()
            },
            Self {
                name: "store_down",
                measured_s: 650,
                store_outage_s: Some((30, 630)),
                ..base
            },
        ]
    }

    /// Returns whether a frame sent at `now_s` is dropped.
    pub(crate) fn drops(&self, now_s: u64, from: RouterLocation, to: RouterLocation) -> bool {
        let within = |span: Option<(u64, u64)>| {
            span.is_some_and(|(start, end)| (start..end).contains(&now_s))
        };
        let lost = self.data_centre_loss_at_s.is_some_and(|at| now_s >= at);
        let crosses = (from.region == 0) != (to.region == 0);
        (lost && (from.data_centre == 0 || to.data_centre == 0))
            || (within(self.region_partition_s) && crosses)
            || (within(self.router_pause_s) && (from.is_paused || to.is_paused))
    }

    /// Returns whether the platform answers a router at `now_s`.
    pub(crate) fn platform_answers(&self, now_s: u64, from: RouterLocation) -> bool {
        let down = self
            .store_outage_s
            .is_some_and(|(start, end)| (start..end).contains(&now_s));
        let platform = RouterLocation {
            region: usize::MAX,
            data_centre: usize::MAX,
            is_paused: false,
        };
        !down && !self.drops(now_s, from, platform)
    }
}
