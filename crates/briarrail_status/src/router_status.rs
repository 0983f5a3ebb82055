//! Status of a router.

use briarrail_model::{DataCentre, HostName, MilliTime, RegionName};
use serde::{Deserialize, Serialize};

use crate::{OutcomeTotals, PoolStatus};

/// Lifecycle phase of a router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouterPhase {
    /// The router has not loaded a configuration yet.
    #[default]
    Starting,
    /// The router accepts requests.
    Ready,
    /// The router is shutting down and drains the requests in flight.
    Stopping,
}

/// Control traffic over the last few seconds, including headers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ControlTraffic {
    /// Bytes sent per second.
    pub sent_bytes_per_s: f64,
    /// Bytes received per second.
    pub received_bytes_per_s: f64,
    /// Configured limit for the sum of both, in bytes per second.
    pub budget_bytes_per_s: u64,
}

/// Status document of a router.
///
/// ```
/// use briarrail_status::RouterStatus;
///
/// let text = r#"{ "host": "entry-1", "data_centre": "gongoni", "region": "coast" }"#;
/// let status: RouterStatus = serde_json::from_str(text).unwrap();
/// assert_eq!(status.config_sequence, 0);
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouterStatus {
    /// Name of the router's host.
    pub host: HostName,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: RegionName,
    /// Number that increases each time the router starts.
    #[serde(default)]
    pub incarnation: u64,
    /// Lifecycle phase of the router.
    #[serde(default)]
    pub phase: RouterPhase,
    /// Unix time at which the router started, in milliseconds.
    #[serde(default)]
    pub started_at_ms: MilliTime,
    /// Sequence number of the active configuration; 0 before the first one.
    #[serde(default)]
    pub config_sequence: u64,
    /// Pools, sorted by name.
    #[serde(default)]
    pub pools: Vec<PoolStatus>,
    /// Rate of control traffic.
    #[serde(default)]
    pub control: ControlTraffic,
    /// Request outcomes since the start.
    #[serde(default)]
    pub outcomes: OutcomeTotals,
}
