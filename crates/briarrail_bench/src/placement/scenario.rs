//! Scenarios: delays, restarts, surges and data centre loss.

/// Delays and faults of a case, in milliseconds of virtual time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    /// Age of a load record when it becomes visible to routers.
    pub(crate) report_lag_ms: u64,
    /// Maximum delay until a router's host list shows that an engine started or stopped.
    pub(crate) max_host_list_delay_ms: u64,
    /// Whether a random engine restarts every 30 s.
    pub(crate) churn: bool,
    /// Whether the largest customer sends a surge of requests.
    pub(crate) surge: bool,
    /// Whether the first data centre fails and recovers.
    pub(crate) data_centre_loss: bool,
}

pub(crate) const WARM_UP_MS: u64 = 200_000;
pub(crate) const MEASURED_MS: u64 = 600_000;
pub(crate) const RESTART_INTERVAL_MS: u64 = 30_000;
pub(crate) const RESTART_DOWNTIME_MS: u64 = 20_000;
pub(crate) const SURGE_FACTOR: f64 = 6.0;
/// Start and end of the surge, relative to the end of the warm-up.
pub(crate) const SURGE_SPAN_MS: (u64, u64) = (100_000, 400_000);
/// Start and end of the outage of the first data centre, relative to the end of the warm-up.
pub(crate) const DATA_CENTRE_LOSS_SPAN_MS: (u64, u64) = (100_000, 300_000);

const STEADY: Scenario = Scenario {
    name: "steady",
    report_lag_ms: 1_500,
    max_host_list_delay_ms: 2_000,
    churn: false,
    surge: false,
    data_centre_loss: false,
};

/// All scenarios, in report order.
pub(crate) const SCENARIOS: [Scenario; 9] = [
    STEADY,
    Scenario {
        name: "churn",
        churn: true,
        ..STEADY
    },
    Scenario {
        name: "surge",
        surge: true,
        ..STEADY
    },
    Scenario {
        name: "churn_surge",
        churn: true,
        surge: true,
        ..STEADY
    },
    Scenario {
        name: "lag5",
        report_lag_ms: 5_000,
        churn: true,
        surge: true,
        ..STEADY
    },
    Scenario {
        name: "lag10",
        report_lag_ms: 10_000,
        churn: true,
        surge: true,
        ..STEADY
    },
    Scenario {
        name: "steady_lag5",
        report_lag_ms: 5_000,
        ..STEADY
    },
    Scenario {
        name: "disagreement",
        max_host_list_delay_ms: 5_000,
        churn: true,
        ..STEADY
    },
    Scenario {
        name: "dc_loss",
        data_centre_loss: true,
        ..STEADY
    },
];

impl Scenario {
    /// Returns whether the surge is active at `now`.
    pub(crate) fn is_surging_at(&self, now: u64) -> bool {
        let span = WARM_UP_MS + SURGE_SPAN_MS.0..WARM_UP_MS + SURGE_SPAN_MS.1;
        self.surge && span.contains(&now)
    }
}
