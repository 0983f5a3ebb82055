//! The objectives that burn rates are worked out for.

use std::fmt;

use briarrail_model::ServiceObjective;
use serde::{Deserialize, Serialize};

/// One objective of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectiveKind {
    /// Requests whose first token or byte came in time.
    FirstToken,
    /// Tokens that came in time after the one before.
    TokenGap,
    /// Requests that were answered.
    Answered,
    /// At-most-once requests whose outcome is known.
    Known,
}

impl ObjectiveKind {
    /// All objectives, in the order of reports.
    pub const ALL: [Self; 4] = [
        Self::FirstToken,
        Self::TokenGap,
        Self::Answered,
        Self::Known,
    ];

    /// Returns the part of the events that must be good.
    #[must_use]
    pub fn goal(self, objective: &ServiceObjective) -> f64 {
        match self {
            Self::FirstToken | Self::TokenGap => objective.latency_goal,
            Self::Answered => objective.answered_goal,
            Self::Known => objective.known_goal,
        }
    }
}

impl fmt::Display for ObjectiveKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::FirstToken => "first token",
            Self::TokenGap => "token gap",
            Self::Answered => "answered",
            Self::Known => "known outcome",
        })
    }
}
