//! Base objects: snapshots of the tables, stored as lists of shards.

use briarrail_model::StableHash;
use serde::{Deserialize, Serialize};

/// Reference to a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRef {
    /// Key of the object.
    pub key: String,
    /// Hash of the encoded object.
    pub digest: StableHash,
}

/// Snapshot of both tables as of one edit, split into shards.
///
/// The hash of its name assigns a row to a shard, so that a new base can reuse the unchanged shards
/// of the previous one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BaseObject {
    /// Sequence number of the last edit that the rows include.
    pub sequence: u64,
    /// The shards, indexed by the hash of the row name modulo their number.
    pub shards: Vec<ShardRef>,
}
