//! Lines of the report.

use briarrail_model::ServiceObjective;
use serde::{Deserialize, Serialize};

use crate::{AlertLevel, BurnWindow, EventCount, ObjectiveKind, WindowCounts};

/// Burn rate over one window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WindowRate {
    /// The window.
    pub window: BurnWindow,
    /// Events in the window.
    pub events: EventCount,
    /// Burn rate; nothing when there were no events.
    pub rate: Option<f64>,
}

/// One objective of one pool or customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnLine {
    /// Name of the pool.
    pub pool: String,
    /// Customer, `(others)` for those without a series, or `(all)`.
    pub customer: String,
    /// The objective.
    pub objective: ObjectiveKind,
    /// Part of the events that must be good.
    pub goal: f64,
    /// How urgent the rates are.
    pub level: AlertLevel,
    /// Rates, shortest window first.
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
        let rate = |count: &WindowCounts| {
            let events = count.counts.get(kind);
            WindowRate {
                window: count.window,
                events,
                rate: events.burn_rate(goal),
            }
        };
        let rates: Vec<_> = windows.iter().map(rate).collect();
        let rate_of = |window| {
            let found = rates.iter().find(|rate| rate.window == window);
            found.and_then(|rate| rate.rate)
        };
        let level = AlertLevel::for_rates(rate_of);
        Self {
            pool: pool.to_owned(),
            customer: customer.to_owned(),
            objective: kind,
            goal,
            level,
            rates,
        }
    }

    /// Returns whether any window saw an event.
    #[must_use]
    pub fn has_events(&self) -> bool {
        self.rates.iter().any(|rate| rate.events.total > 0)
    }
}
