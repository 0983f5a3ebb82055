//! Messages between a router and its hub, the router that reads the store for it.

use std::net::SocketAddr;

use briarrail_model::{DataCentre, HostName};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Number of requests at one target, and the outcomes of the last seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCount {
    /// Low 32 bits of the hash of the target's identity.
    #[serde(rename = "t")]
    pub target: u32,
    /// Requests that the target is processing.
    #[serde(rename = "n")]
    pub requests: u32,
    /// Successful outcomes, in units of half a request.
    #[serde(rename = "g", default, skip_serializing_if = "is_zero")]
    pub good: u32,
    /// Failures, in units of half a request.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub failed: u32,
}

/// Number of requests for one service that routers received within the last second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// Low 32 bits of the hash of the service's name.
    #[serde(rename = "s")]
    pub service: u32,
    /// Requests of callers.
    #[serde(rename = "n")]
    pub requests: u32,
}

/// What routers know of the rate limit that a target names, and how much they need it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLimit {
    /// Low 32 bits of the hash of the target's identity.
    #[serde(rename = "t")]
    pub target: u32,
    /// Limit of the newest answer, in thousandths of a request per second; `None` if it named none.
    #[serde(rename = "l")]
    pub limit: Option<u32>,
    /// Age of that answer in milliseconds; `None` if there was none yet.
    #[serde(rename = "a")]
    pub age_ms: Option<u32>,
    /// Requests of the last two seconds that would have been sent without a limit.
    #[serde(rename = "n")]
    pub demand: u32,
    /// Requests of the last second with prompts that stay at the target.
    #[serde(rename = "k")]
    pub kept: u32,
    /// Requests that were sent in the last three seconds.
    #[serde(rename = "s")]
    pub sent: u32,
}

/// A pause for which a target asked some routers; encoded without names, since all targets of a site
/// may be paused at once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, u32)", into = "(u32, u32, u32)")]
pub struct TargetPauseItem {
    /// Short hash of the target's run.
    pub target: u32,
    /// Shortest time that is left of the pauses, in milliseconds.
    pub left_ms: u32,
    /// Number of routers that the target asked.
    pub routers: u32,
}

impl From<(u32, u32, u32)> for TargetPauseItem {
    fn from((target, left_ms, routers): (u32, u32, u32)) -> Self {
        Self {
            target,
            left_ms,
            routers,
        }
    }
}

impl From<TargetPauseItem> for (u32, u32, u32) {
    fn from(item: TargetPauseItem) -> Self {
        (item.target, item.left_ms, item.routers)
    }
}

const fn is_zero(number: &u32) -> bool {
    *number == 0
}

const fn is_false(flag: &bool) -> bool {
    !*flag
}

/// State that a router sends to its hub, with the versions of the data that it holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The sender.
    #[serde(rename = "a")]
    pub sender: SyncRouter,
    /// Store revision of the sender's configuration; 0 when it has none. Only routers of releases
    /// that do not send `config_version` decide by it.
    #[serde(rename = "c")]
    pub config_revision: u64,
    /// Version of the sender's configuration; 0 when it has none.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub config_version: Option<u64>,
    /// The sender's configuration, if the receiver asked for it.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub config: Option<StoredConfig>,
    /// Incarnation of the hub that the sender's roster comes from.
    #[serde(rename = "e")]
    pub roster_epoch: u64,
    /// Sequence number of the last roster change that the sender has.
    #[serde(rename = "s")]
    pub roster_sequence: u64,
    /// Counts of the sender and of the routers that follow it; targets without any are omitted.
    #[serde(rename = "n")]
    pub counts: Vec<TargetCount>,
    /// Demand that the sender and the routers that follow it received.
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    pub demands: Vec<ServiceDemand>,
    /// Rate limits that targets name; empty without any.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<TargetLimit>,
    /// Short hashes of the runs of targets that said that they leave; empty without any.
    #[serde(rename = "y", default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<u32>,
    /// Pauses for which targets asked routers; empty without any.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub pauses: Vec<TargetPauseItem>,
    /// Encoded evidence on prompt parts that crash targets; empty without any.
    #[serde(rename = "b", default, skip_serializing_if = "Bytes::is_empty")]
    pub part_reports: Bytes,
    /// Encoded evidence on whole requests that crash targets; empty without any.
    #[serde(rename = "k", default, skip_serializing_if = "Bytes::is_empty")]
    pub request_reports: Bytes,
    /// Evacuations that the sender knows; only sent while there are any.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<EvacuationList>,
    /// Number of live routers that the counts cover, including the sender.
    #[serde(rename = "w")]
    pub counted_routers: u32,
    /// Digest of the sender's list of routers.
    #[serde(rename = "d")]
    pub routers_digest: u64,
    /// Whether the sender can't read the store and only requests the receiver's view of it.
    #[serde(rename = "v", default)]
    pub wants_view: bool,
    /// Whether the sender is shutting down.
    #[serde(rename = "x", default)]
    pub is_stopping: bool,
    /// Whether the message only makes the sender known to the receiver, which can then follow it.
    #[serde(rename = "h", default)]
    pub is_greeting: bool,
}

/// A configuration with its revision in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredConfig {
    /// Revision of the configuration object in the store.
    #[serde(rename = "r")]
    pub revision: u64,
    /// The encoded configuration.
    #[serde(rename = "b")]
    pub body: Bytes,
}

/// Roster changes after the sequence number that the requester has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterUpdate {
    /// Incarnation of the hub.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Sequence number after the changes.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// Whether `rows` is the complete roster.
    #[serde(rename = "w")]
    pub is_full: bool,
    /// The encoded rows that changed.
    #[serde(rename = "p")]
    pub rows: Bytes,
    /// Whether `rows` is compressed; only lists that a frame may not hold otherwise are, since routers
    /// of earlier versions can't read them.
    #[serde(rename = "z", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_compressed: bool,
    /// Ids of the targets that were removed.
    #[serde(rename = "g")]
    pub removed: Vec<String>,
    /// Ids of the targets whose entries are missing from the store, with the milliseconds until
    /// they expire.
    #[serde(rename = "k", default)]
    pub expiring: Vec<(String, u64)>,
}

/// The evacuated data centres at a revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationList {
    /// Number of times the store was restored from a copy before that revision.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// The revision.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Age of the list in milliseconds; `None` if it is unknown.
    #[serde(rename = "o")]
    pub age_ms: Option<u64>,
    /// Data centres with an entry in the store.
    #[serde(rename = "z", default, skip_serializing_if = "Vec::is_empty")]
    pub data_centres: Vec<DataCentre>,
    /// Data centres whose entries a restore of the store lost, with the milliseconds for which they
    /// stay evacuated without an entry.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    pub retained: Vec<(DataCentre, u64)>,
}

/// A router that other routers can follow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRouter {
    /// Name of the router.
    #[serde(rename = "n")]
    pub name: HostName,
    /// Address at which the router accepts messages.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Data centre of the router.
    #[serde(rename = "z")]
    pub data_centre: DataCentre,
    /// Capacity of its host as a base-2 logarithm: each step doubles the capacity.
    #[serde(rename = "c")]
    pub capacity: u8,
}

/// The reply to a [`SyncRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReply {
    /// Highest possible age of the sender's view of the store, in milliseconds; `None` if it never
    /// had one.
    #[serde(rename = "o")]
    pub view_age_ms: Option<u64>,
    /// Lowest possible age of the targets in that view, in milliseconds. Routers of earlier versions
    /// don't send it.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub view_min_age_ms: Option<u64>,
    /// Whether the sender's own last read of the store failed.
    #[serde(rename = "x", default)]
    pub store_read_failed: bool,
    /// All known routers, if the requester's list differs.
    #[serde(rename = "l")]
    pub routers: Option<Vec<SyncRouter>>,
    /// Number of live routers in the fleet.
    #[serde(rename = "w")]
    pub live_routers: u32,
    /// Time until the requester's next sync, in milliseconds.
    #[serde(rename = "i")]
    pub next_round_ms: u32,
    /// Counts of all routers, without those that the requester's counts cover.
    #[serde(rename = "n")]
    pub counts: Vec<TargetCount>,
    /// Demand that all routers received, without those that the requester's demand covers.
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    pub demands: Vec<ServiceDemand>,
    /// Rate limits that targets name; empty without any.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<TargetLimit>,
    /// Short hashes of the runs of targets that said that they leave; empty without any.
    #[serde(rename = "y", default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<u32>,
    /// Pauses for which targets asked routers; empty without any.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub pauses: Vec<TargetPauseItem>,
    /// Encoded evidence on prompt parts that crash targets; empty without any.
    #[serde(rename = "b", default, skip_serializing_if = "Bytes::is_empty")]
    pub part_reports: Bytes,
    /// Encoded evidence on whole requests that crash targets; empty without any.
    #[serde(rename = "k", default, skip_serializing_if = "Bytes::is_empty")]
    pub request_reports: Bytes,
    /// Evacuations that the sender knows; `None` if it does not follow them.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<EvacuationList>,
    /// Number of times the store was restored from a copy, as far as the sender knows.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub store_epoch: Option<u64>,
    /// The configuration, if the requester's one is older.
    #[serde(rename = "c")]
    pub config: Option<StoredConfig>,
    /// Whether the requester's configuration is newer and is to be sent with its next sync.
    #[serde(rename = "g", default, skip_serializing_if = "is_false")]
    pub wants_config: bool,
    /// Roster changes, if there are any.
    #[serde(rename = "r")]
    pub roster: Option<RosterUpdate>,
}
