//! Messages between a router and the one that reads the store for it.

use std::net::SocketAddr;

use briarrail_model::HostName;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Requests at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCount {
    /// Low half of the hash of the target's identity.
    #[serde(rename = "t")]
    pub target: u32,
    /// Requests that it works on.
    #[serde(rename = "n")]
    pub requests: u32,
}

/// What a router tells the hub, and what it has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Address at which the sender takes messages.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Store revision of the sender's configuration; 0 when it has none.
    #[serde(rename = "c")]
    pub config_revision: u64,
    /// Incarnation of the hub from which the sender's roster comes.
    #[serde(rename = "e")]
    pub roster_epoch: u64,
    /// Last roster change that the sender has.
    #[serde(rename = "s")]
    pub roster_sequence: u64,
    /// The sender's own requests; targets without any are left out.
    #[serde(rename = "n")]
    pub counts: Vec<TargetCount>,
    /// Whether the sender stops.
    #[serde(rename = "x", default)]
    pub is_stopping: bool,
}

/// A configuration as the hub holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigPart {
    /// Revision of its object in the store.
    #[serde(rename = "r")]
    pub revision: u64,
    /// The encoded configuration.
    #[serde(rename = "b")]
    pub body: Bytes,
}

/// Changes of the roster since the requester's sequence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterPart {
    /// Incarnation of the hub.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Sequence after the changes.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// Whether the rows are all there are.
    #[serde(rename = "w")]
    pub is_whole: bool,
    /// The encoded rows that changed.
    #[serde(rename = "p")]
    pub rows: Bytes,
    /// Targets that are gone.
    #[serde(rename = "g")]
    pub gone: Vec<String>,
}

/// A live router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRouter {
    /// Its name.
    #[serde(rename = "n")]
    pub name: HostName,
    /// Address at which it takes messages.
    #[serde(rename = "a")]
    pub address: SocketAddr,
}

/// The hub's reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReply {
    /// Age of the hub's view of the store, in milliseconds; none when it never had one.
    #[serde(rename = "o")]
    pub view_age_ms: Option<u64>,
    /// Routers that the hub heard of lately, itself included.
    #[serde(rename = "l")]
    pub routers: Vec<SyncRouter>,
    /// Requests of all routers but the requester.
    #[serde(rename = "n")]
    pub counts: Vec<TargetCount>,
    /// The configuration, if the requester's is older.
    #[serde(rename = "c")]
    pub config: Option<ConfigPart>,
    /// The roster's changes, if there are any.
    #[serde(rename = "r")]
    pub roster: Option<RosterPart>,
}
