//! Faults of the object API.

use serde::{Deserialize, Serialize};

/// How an outage shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageKind {
    /// Calls get 503 and have no effect.
    Refuse,
    /// Connections are closed without an answer, and calls have no effect.
    Close,
    /// Calls have no effect and get no answer.
    Hang,
}

/// Faults of the object API; the default has none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "StoreFaults", default, deny_unknown_fields)]
pub struct ObjectApiFaults {
    /// Outage, if there is one.
    pub outage: Option<OutageKind>,
    /// Delay before each call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Number of writes to come that take effect and lose their reply.
    pub lose_replies_next: u32,
    /// Calls taken in a second; more get 429 and have no effect. None for no limit.
    pub calls_per_s: Option<u32>,
}
