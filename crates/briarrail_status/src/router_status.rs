//! State of a router.

use briarrail_model::{DataCentre, HostName, MilliTime, RegionName};
use serde::{Deserialize, Serialize};

use crate::{OutcomeTotals, PoolStatus};

/// How far a router is in its life.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouterPhase {
    /// The router has no configuration yet.
    #[default]
    Starting,
    /// The router takes requests.
    Ready,
    /// The router stops, and finishes what it has.
    Stopping,
}

/// Control traffic over the last seconds, headers included.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ControlTraffic {
    /// Bytes sent a second.
    pub sent_bytes_per_s: f64,
    /// Bytes received a second.
    pub received_bytes_per_s: f64,
    /// Bytes a second that the settings allow for both together.
    pub budget_bytes_per_s: u64,
}

/// What a router reports of itself.
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
    /// Number that rises each time the router is started.
    #[serde(default)]
    pub incarnation: u64,
    /// Phase of the router.
    #[serde(default)]
    pub phase: RouterPhase,
    /// Unix time at which the router started, in milliseconds.
    #[serde(default)]
    pub started_at_ms: MilliTime,
    /// Sequence number of the configuration in force; 0 before the first.
    #[serde(default)]
    pub config_sequence: u64,
    /// Pools, in the order of their names.
    #[serde(default)]
    pub pools: Vec<PoolStatus>,
    /// Control traffic.
    #[serde(default)]
    pub control: ControlTraffic,
    /// Outcomes since the start.
    #[serde(default)]
    pub outcomes: OutcomeTotals,
}
