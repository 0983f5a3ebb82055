//! Rows of the routes table.

use serde::{Deserialize, Serialize};

use crate::{
    CallPriority, CallSemantics, MilliDuration, MissingKeyPolicy, RouteConditions, RowStamp,
};

/// A row of the routes table: which requests go to which pool, and how.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRow {
    /// Name of the route, unique in the table.
    pub name: String,
    /// Conditions on the requests that the route matches.
    #[serde(default, rename = "match")]
    pub conditions: RouteConditions,
    /// Name of the pool that serves the requests.
    pub pool: String,
    /// Whether the calls may be executed more than once.
    #[serde(default)]
    pub semantics: CallSemantics,
    /// How to handle at-most-once calls without an idempotency key.
    #[serde(default)]
    pub keyless: MissingKeyPolicy,
    /// Priority of the calls under overload.
    #[serde(default)]
    pub priority: CallPriority,
    /// Maximum total time of a call, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: MilliDuration,
    /// Version and author of the last edit; set when the edit is accepted.
    #[serde(default)]
    pub stamp: RowStamp,
}

const fn default_deadline() -> MilliDuration {
    MilliDuration::from_secs(120)
}
