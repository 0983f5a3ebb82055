//! What the store lists of a target.

use std::net::SocketAddr;

use briarrail_model::DataCentre;
use serde::{Deserialize, Serialize};

/// Whether a target takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetPhase {
    /// It takes requests.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// One listed target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Identity of this start of the target; requests name it, so that another target at the same
    /// address refuses them.
    pub id: String,
    /// Service that the target belongs to.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre that the target stands in.
    pub data_centre: DataCentre,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub phase: TargetPhase,
    /// Unix time of its start, in milliseconds; 0 when unknown.
    pub started_unix_ms: u64,
}
