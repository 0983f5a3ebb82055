//! Counts of events per objective.

use std::ops::AddAssign;

use serde::{Deserialize, Serialize};

use crate::ObjectiveKind;

/// Number of events that an objective covers, and of those that missed it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventCount {
    /// Number of all events.
    pub total: u64,
    /// Number of events that missed the objective.
    pub bad: u64,
}

impl EventCount {
    /// Returns the burn rate; a rate of 1 uses up the error budget exactly.
    ///
    /// Returns `None` without events or without an error budget.
    #[must_use]
    pub fn burn_rate(self, goal: f64) -> Option<f64> {
        let budget = 1.0 - goal;
        let has_rate = self.total > 0 && budget > 0.0;
        has_rate.then(|| self.bad as f64 / self.total as f64 / budget)
    }

    /// Counts an event.
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

/// Event counts for each objective.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ObjectiveCounts {
    /// Requests; bad if their first token was late.
    pub first_token: EventCount,
    /// Tokens after the first; bad if the time since the previous token was too long.
    pub token_gap: EventCount,
    /// Requests; bad if they were not answered.
    pub answered: EventCount,
    /// At-most-once requests; bad if their outcome is unknown.
    pub known: EventCount,
}

impl ObjectiveCounts {
    /// Returns the event count of an objective.
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
