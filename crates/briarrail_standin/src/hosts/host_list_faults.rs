//! Faults of the host list.

use briarrail_model::HostName;
use serde::{Deserialize, Serialize};

/// Faults that the host list injects; the default has none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct HostFaults", default, deny_unknown_fields)]
pub struct HostListFaults {
    /// Whether every read is answered with status 503.
    pub outage: bool,
    /// Delay before a change is visible to readers, in milliseconds.
    pub lag_ms: u64,
    /// Hosts that are removed from the list and added again periodically.
    pub flapping: Vec<HostName>,
    /// Time for which a flapping host is alternately listed and removed, in milliseconds.
    pub flap_period_ms: u64,
}
