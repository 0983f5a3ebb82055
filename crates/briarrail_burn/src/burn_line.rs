//! Lines of the burn rate report.

use briarrail_model::ServiceObjective;
use serde::{Deserialize, Serialize};

use crate::{AlertLevel, BurnWindow, EventCount, ObjectiveKind, WindowCounts};

/// Burn rate over a window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WindowRate {
    /// Window that the rate covers.
    pub window: BurnWindow,
    /// Events in the window.
    pub events: EventCount,
    /// Burn rate; `None` if it cannot be computed, such as without events.
    pub rate: Option<f64>,
}

/// Burn rates of one objective of a pool or customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnLine {
    /// Name of the pool.
    pub pool: String,
    /// Customer, `(others)` for customers without their own series, or `(all)`.
    pub customer: String,
    /// The objective.
    pub objective: ObjectiveKind,
    /// Fraction of the events that must be good.
    pub goal: f64,
    /// Alert level of the rates.
    pub level: AlertLevel,
    /// Burn rates, shortest window first.
    pub rates: Vec<WindowRate>,
}

impl BurnLine {
    pub(crate) fn new(
        pool: &str,
        customer: &str,
        objective: &ServiceObjective,
        kind: ObjectiveKind,
        windows: &[WindowCounts],
    ) -> Self {
        let goal = kind.goal(objective);
        let window_rate = |count: &WindowCounts| {
            let events = count.counts.get(kind);
            WindowRate {
                window: count.window,
                events,
                rate: events.burn_rate(goal),
            }
        };
        let rates: Vec<_> = windows.iter().map(window_rate).collect();
        let burn_rate_of = |window| {
            let window_rate = rates.iter().find(|rate| rate.window == window);
            window_rate.and_then(|rate| rate.rate)
        };
        let level = AlertLevel::from_rates(burn_rate_of);
        Self {
            pool: pool.to_owned(),
            customer: customer.to_owned(),
            objective: kind,
            goal,
            level,
            rates,
        }
    }

    /// Returns whether any window contains an event.
    #[must_use]
    pub fn has_events(&self) -> bool {
        self.rates.iter().any(|rate| rate.events.total > 0)
    }
}
