//! Faults of the host list.

use briarrail_model::HostName;
use serde::{Deserialize, Serialize};

/// Faults of the host list; the default has none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "HostFaults", default, deny_unknown_fields)]
pub struct HostListFaults {
    /// Whether every read gets 503.
    pub outage: bool,
    /// Time that a change takes to show, in milliseconds.
    pub lag_ms: u64,
    /// Hosts that leave the list and come back, over and over.
    pub flapping: Vec<HostName>,
    /// Time that a flapping host stays away, and then stays, in milliseconds.
    pub flap_period_ms: u64,
}
