//! Faults of the object API.

use serde::{Deserialize, Serialize};

/// How the object API behaves during an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageKind {
    /// Requests are answered with status 503 and have no effect.
    Refuse,
    /// Connections are closed without a response, and requests have no effect.
    Close,
    /// Requests get no response and have no effect; connections stay open.
    Hang,
}

/// Faults that the object API injects; the default has none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct StoreFaults", default, deny_unknown_fields)]
pub struct ObjectApiFaults {
    /// Current outage, if any.
    pub outage: Option<OutageKind>,
    /// Delay before each request takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Number of upcoming writes that take effect but whose response is dropped.
    pub lose_replies_next: u32,
    /// Rate limit in requests per second, if any; requests over it get status 429 and have no
    /// effect.
    pub calls_per_s: Option<u32>,
}
