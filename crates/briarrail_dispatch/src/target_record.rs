//! Store record of a target.

use std::net::SocketAddr;

use briarrail_model::{DataCentre, MilliDuration};
use serde::{Deserialize, Serialize};

/// Lifecycle phase of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetPhase {
    /// It accepts new requests.
    Ready,
    /// It finishes its current requests and then leaves.
    Draining,
}

/// A listed target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Identifier of this run of the target. Requests carry it, so that another target at the same
    /// address rejects them.
    pub id: String,
    /// Service to which the target belongs.
    pub service: String,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Data centre in which the target runs.
    pub data_centre: DataCentre,
    /// Version of the target's software; empty if it is unknown.
    #[serde(default)]
    pub version: String,
    /// Number of requests that it executes concurrently.
    pub slots: u32,
    /// Lifecycle phase.
    pub phase: TargetPhase,
    /// Unix time at which it started, in milliseconds; 0 if unknown.
    pub started_unix_ms: u64,
    /// Time for which it stays cold after its entry was written; zero if the entry names none.
    ///
    /// Routers of earlier versions don't send this field.
    #[serde(default)]
    pub cold_left: MilliDuration,
}
