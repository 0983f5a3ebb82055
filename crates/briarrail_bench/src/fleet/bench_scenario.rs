//! The scenarios: each is a loss rate, a drop predicate, and restarts.

use crate::fleet::bench_fleet::Place;

/// Virtual seconds before the measurement begins.
pub(crate) const WARM_UP_S: u64 = 20;

/// What happens in a case; times are seconds since its start.
#[derive(Debug, Clone)]
pub(crate) struct BenchScenario {
    pub(crate) name: &'static str,
    pub(crate) measured_s: u64,
    pub(crate) loss: f64,
    /// Data centre 0 falls silent for good.
    pub(crate) lost_cell_at_s: Option<u64>,
    /// All routers of data centre 0 are restarted.
    pub(crate) restart_cell_at_s: Option<u64>,
    /// Region 0 reaches neither other regions nor the platform.
    pub(crate) cut_region_s: Option<(u64, u64)>,
    pub(crate) store_down_s: Option<(u64, u64)>,
    /// One router in a hundred, at least one, does not answer for 5 s.
    pub(crate) pause_s: Option<(u64, u64)>,
}

impl BenchScenario {
    fn steady(seconds: u64) -> Self {
        Self {
            name: "steady",
            measured_s: seconds,
            loss: 0.0,
            lost_cell_at_s: None,
            restart_cell_at_s: None,
            cut_region_s: None,
            store_down_s: None,
            pause_s: None,
        }
    }

    /// Returns all scenarios; those without an outage are measured for `seconds`.
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
                lost_cell_at_s: Some(30),
                ..base.clone()
            },
            Self {
                name: "cell_restart",
                restart_cell_at_s: Some(30),
                ..base.clone()
            },
            Self {
                name: "pause",
                pause_s: Some((30, 35)),
                ..base.clone()
            },
            Self {
                name: "region_cut",
                measured_s: 230,
                cut_region_s: Some((30, 210)),
                ..base.clone()
            },
            Self {
                name: "store_down",
                measured_s: 650,
                store_down_s: Some((30, 630)),
                ..base
            },
        ]
    }

    /// Returns whether a frame that is sent now is dropped.
    pub(crate) fn drops(&self, now_s: u64, from: Place, to: Place) -> bool {
        let within = |span: Option<(u64, u64)>| span.is_some_and(|(a, b)| (a..b).contains(&now_s));
        let lost = self.lost_cell_at_s.is_some_and(|at| now_s >= at);
        let crosses = (from.region == 0) != (to.region == 0);
        (lost && (from.cell == 0 || to.cell == 0))
            || (within(self.cut_region_s) && crosses)
            || (within(self.pause_s) && (from.is_paused || to.is_paused))
    }

    /// Returns whether the platform answers a router.
    pub(crate) fn platform_answers(&self, now_s: u64, from: Place) -> bool {
        let down = self
            .store_down_s
            .is_some_and(|(a, b)| (a..b).contains(&now_s));
        let platform = Place {
            region: usize::MAX,
            cell: usize::MAX,
            is_paused: false,
        };
        !down && !self.drops(now_s, from, platform)
    }
}
