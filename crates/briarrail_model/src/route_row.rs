//! Rows of the routes table.

use serde::{Deserialize, Serialize};

use crate::{
    CallPriority, CallSemantics, MilliDuration, MissingKeyPolicy, RouteConditions, RowStamp,
};

/// One row of the routes table: which requests go to which pool, and how.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRow {
    /// Name of the row, unique in its table.
    pub name: String,
    /// Requests that the route takes.
    #[serde(default, rename = "match")]
    pub conditions: RouteConditions,
    /// Name of the pool that serves them.
    pub pool: String,
    /// Whether the calls may run more than once.
    #[serde(default)]
    pub semantics: CallSemantics,
    /// What to do with at-most-once calls that carry no key.
    #[serde(default)]
    pub keyless: MissingKeyPolicy,
    /// How the calls rank under overload.
    #[serde(default)]
    pub priority: CallPriority,
    /// Time that a call may take in all, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: MilliDuration,
    /// Version and editor; set when the edit is accepted.
    #[serde(default)]
    pub stamp: RowStamp,
}

const fn default_deadline() -> MilliDuration {
    MilliDuration::from_secs(120)
}
