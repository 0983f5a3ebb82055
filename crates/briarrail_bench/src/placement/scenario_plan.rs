//! Scenarios: what fails, surges and lags.

/// What happens in a case; times in milliseconds of virtual time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ScenarioPlan {
    pub(crate) name: &'static str,
    /// Age of a load record when routers get it.
    pub(crate) lag_ms: u64,
    /// Greatest delay with which a router learns that an engine came or went.
    pub(crate) list_delay_ms: u64,
    /// Whether an engine restarts each 30 s.
    pub(crate) churn: bool,
    /// Whether one customer surges.
    pub(crate) surge: bool,
    /// Whether a data centre is lost and comes back.
    pub(crate) data_centre_loss: bool,
}

pub(crate) const WARM_UP_MS: u64 = 200_000;
pub(crate) const MEASURED_MS: u64 = 600_000;
pub(crate) const RESTART_EVERY_MS: u64 = 30_000;
pub(crate) const DOWN_MS: u64 = 20_000;
pub(crate) const SURGE_FACTOR: f64 = 6.0;
/// Span of the surge, from the start of the measured time.
pub(crate) const SURGE_MS: (u64, u64) = (100_000, 400_000);
/// Span without the first data centre, from the start of the measured time.
pub(crate) const LOSS_MS: (u64, u64) = (100_000, 300_000);

const STEADY: ScenarioPlan = ScenarioPlan {
    name: "steady",
    lag_ms: 1_500,
    list_delay_ms: 2_000,
    churn: false,
    surge: false,
    data_centre_loss: false,
};

/// All scenarios, in the order of the report.
pub(crate) const SCENARIOS: [ScenarioPlan; 9] = [
    STEADY,
    ScenarioPlan {
        name: "churn",
        churn: true,
        ..STEADY
    },
    ScenarioPlan {
        name: "surge",
        surge: true,
        ..STEADY
    },
    ScenarioPlan {
        name: "churn_surge",
        churn: true,
        surge: true,
        ..STEADY
    },
    ScenarioPlan {
        name: "lag5",
        lag_ms: 5_000,
        churn: true,
        surge: true,
        ..STEADY
    },
    ScenarioPlan {
        name: "lag10",
        lag_ms: 10_000,
        churn: true,
        surge: true,
        ..STEADY
    },
    ScenarioPlan {
        name: "steady_lag5",
        lag_ms: 5_000,
        ..STEADY
    },
    ScenarioPlan {
        name: "disagreement",
        list_delay_ms: 5_000,
        churn: true,
        ..STEADY
    },
    ScenarioPlan {
        name: "dc_loss",
        data_centre_loss: true,
        ..STEADY
    },
];

impl ScenarioPlan {
    /// Returns whether the surge is on.
    pub(crate) fn surges_at(&self, now: u64) -> bool {
        let span = WARM_UP_MS + SURGE_MS.0..WARM_UP_MS + SURGE_MS.1;
        self.surge && span.contains(&now)
    }
}
