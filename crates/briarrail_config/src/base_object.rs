//! Bases: lists of shards.

use briarrail_model::StableHash;
use serde::{Deserialize, Serialize};

/// Refers to a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRef {
    /// Key of the object.
    pub key: String,
    /// Hash of the object's bytes.
    pub digest: StableHash,
}

/// The shards that hold the rows of both tables as of one edit.
///
/// A row stands in the shard that the hash of its name selects, so that a base can share the
/// shards that did not change with the base before it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BaseObject {
    /// Sequence number of the last edit that the rows include.
    pub sequence: u64,
    /// The shards.
    pub shards: Vec<ShardRef>,
}
