//! Messages between a router and the one that reads the store for it.

use std::net::SocketAddr;

use briarrail_model::{DataCentre, HostName};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Requests at one target, and how those of the last seconds ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCount {
    /// Low half of the hash of the target's identity.
    #[serde(rename = "t")]
    pub target: u32,
    /// Requests that it works on.
    #[serde(rename = "n")]
    pub requests: u32,
    /// Units of good outcomes.
    #[serde(rename = "g", default, skip_serializing_if = "is_zero")]
    pub good: u32,
    /// Units of failures.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub failed: u32,
}

const fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// What a router tells the router that it follows, and what it has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The sender.
    #[serde(rename = "a")]
    pub sender: SyncRouter,
    /// Store revision of the sender's configuration; 0 when it has none.
    #[serde(rename = "c")]
    pub config_revision: u64,
    /// Incarnation of the hub from which the sender's roster comes.
    #[serde(rename = "e")]
    pub roster_epoch: u64,
    /// Last roster change that the sender has.
    #[serde(rename = "s")]
    pub roster_sequence: u64,
    /// Requests of the sender and of those that follow it; targets without any are left out.
    #[serde(rename = "n")]
    pub counts: Vec<TargetCount>,
    /// Live routers that the counts cover, the sender included.
    #[serde(rename = "w")]
    pub counted_routers: u32,
    /// Digest of the sender's list of routers.
    #[serde(rename = "d")]
    pub routers_digest: u64,
    /// Whether the store fails the sender, so that it asks for a view only.
    #[serde(rename = "v", default)]
    pub wants_view: bool,
    /// Whether the sender stops.
    #[serde(rename = "x", default)]
    pub is_stopping: bool,
}

/// A configuration as the hub holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredConfig {
    /// Revision of its object in the store.
    #[serde(rename = "r")]
    pub revision: u64,
    /// The encoded configuration.
    #[serde(rename = "b")]
    pub body: Bytes,
}

/// Changes of the roster since the requester's sequence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterUpdate {
    /// Incarnation of the hub.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Sequence after the changes.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// Whether the rows are all there are.
    #[serde(rename = "w")]
    pub is_full: bool,
    /// The encoded rows that changed.
    #[serde(rename = "p")]
    pub rows: Bytes,
    /// Targets that are gone.
    #[serde(rename = "g")]
    pub removed: Vec<String>,
    /// Rows whose entries are missing from the store, and how many milliseconds they still count.
    #[serde(rename = "k", default)]
    pub expiring: Vec<(String, u64)>,
}

/// A router that others can follow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRouter {
    /// Its name.
    #[serde(rename = "n")]
    pub name: HostName,
    /// Address at which it takes messages.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Data centre that it stands in.
    #[serde(rename = "z")]
    pub data_centre: DataCentre,
    /// What its host can carry, in steps of a factor of two.
    #[serde(rename = "c")]
    pub capacity: u8,
}

/// The reply of a router that is followed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReply {
    /// Age of the sender's view of the store, in milliseconds; none when it never had one.
    #[serde(rename = "o")]
    pub view_age_ms: Option<u64>,
    /// Whether the store failed the sender's own last read of it.
    #[serde(rename = "x", default)]
    pub store_read_failed: bool,
    /// All routers, if the requester's list differs.
    #[serde(rename = "l")]
    pub routers: Option<Vec<SyncRouter>>,
    /// Live routers of the fleet.
    #[serde(rename = "w")]
    pub live_routers: u32,
    /// Time until the requester's next round, in milliseconds.
    #[serde(rename = "i")]
    pub next_round_ms: u32,
    /// Requests of all routers but those that the requester's counts cover.
    #[serde(rename = "n")]
    pub counts: Vec<TargetCount>,
    /// The configuration, if the requester's is older.
    #[serde(rename = "c")]
    pub config: Option<StoredConfig>,
    /// The roster's changes, if there are any.
    #[serde(rename = "r")]
    pub roster: Option<RosterUpdate>,
}
