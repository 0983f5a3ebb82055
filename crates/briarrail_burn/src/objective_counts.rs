//! Counts of events against the objectives.

use std::ops::AddAssign;

use serde::{Deserialize, Serialize};

use crate::ObjectiveKind;

/// Events that an objective speaks of, and those that missed it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventCount {
    /// All events.
    pub total: u64,
    /// Events that missed the objective.
    pub bad: u64,
}

impl EventCount {
    /// Returns the burn rate: 1 uses up the error budget exactly; nothing without events.
    #[must_use]
    pub fn burn_rate(self, goal: f64) -> Option<f64> {
        let budget = 1.0 - goal;
        let measurable = self.total > 0 && budget > 0.0;
        measurable.then(|| self.bad as f64 / self.total as f64 / budget)
    }

    /// Counts one event.
    pub(crate) fn add(&mut self, is_bad: bool) {
        self.total += 1;
        self.bad += u64::from(is_bad);
    }
}

impl AddAssign for EventCount {
    fn add_assign(&mut self, other: Self) {
        self.total += other.total;
        self.bad += other.bad;
    }
}

/// Counts for each objective.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ObjectiveCounts {
    /// Requests by their time to the first token.
    pub first_token: EventCount,
    /// Tokens by the time since the one before.
    pub token_gap: EventCount,
    /// Requests by whether they were answered.
    pub answered: EventCount,
    /// At-most-once requests by whether their outcome is known.
    pub known: EventCount,
}

impl ObjectiveCounts {
    /// Returns the count of one objective.
    #[must_use]
    pub fn get(&self, kind: ObjectiveKind) -> EventCount {
        match kind {
            ObjectiveKind::FirstToken => self.first_token,
            ObjectiveKind::TokenGap => self.token_gap,
            ObjectiveKind::Answered => self.answered,
            ObjectiveKind::Known => self.known,
        }
    }
}

impl AddAssign for ObjectiveCounts {
    fn add_assign(&mut self, other: Self) {
        self.first_token += other.first_token;
        self.token_gap += other.token_gap;
        self.answered += other.answered;
        self.known += other.known;
    }
}
