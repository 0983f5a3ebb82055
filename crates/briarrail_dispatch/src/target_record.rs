//! Store record of a target.

use std::net::SocketAddr;

use briarrail_model::{DataCentre, MilliDuration, MilliTime};
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

impl TargetRecord {
    /// Returns the time at which the target started by the clock of `now`, if its start is known;
    /// `unix_ms` is the same moment as `now`, as a Unix time in milliseconds.
    #[must_use]
    pub fn started_at(&self, unix_ms: u64, now: MilliTime) -> Option<MilliTime> {
        let started = self.started_unix_ms;
        let ahead = MilliDuration::from_millis(started.saturating_sub(unix_ms));
        let age = MilliDuration::from_millis(unix_ms.saturating_sub(started));
        (started > 0).then(|| now + ahead - age)
    }
}
