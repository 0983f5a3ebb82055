//! Kinds of service-level objectives.

use std::fmt;

use briarrail_model::ServiceObjective;
use serde::{Deserialize, Serialize};

/// Kind of an objective of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectiveKind {
    /// First token or byte of a request within its limit.
    FirstToken,
    /// Time between two tokens within its limit.
    TokenGap,
    /// Request answered.
    Answered,
    /// Outcome of an at-most-once request known.
    Known,
}

impl ObjectiveKind {
    /// All kinds, in the order in which reports list them.
    pub const ALL: [Self; 4] = [
        Self::FirstToken,
        Self::TokenGap,
        Self::Answered,
        Self::Known,
    ];

    /// Returns the fraction of the events that must be good.
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
