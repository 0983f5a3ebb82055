//! Shards of the tables.

use briarrail_model::{PoolRow, RouteRow, TableSet, hash_bytes};
use serde::{Deserialize, Serialize};

/// A subset of the rows of both tables.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ShardObject {
    /// Rows of the routes table.
    pub routes: Vec<RouteRow>,
    /// Rows of the pools table.
    pub pools: Vec<PoolRow>,
}

impl ShardObject {
    /// Distributes the rows over `count` shards by the hash of their names.
    pub(crate) fn split(tables: &TableSet, count: usize) -> Vec<Self> {
        let mut shards = vec![Self::default(); count];
        for route in &tables.routes {
            shards[shard_index(&route.name, count)]
                .routes
                .push(route.clone());
        }
        for pool in &tables.pools {
            shards[shard_index(&pool.name, count)]
                .pools
                .push(pool.clone());
        }
        shards
    }
}

fn shard_index(name: &str, count: usize) -> usize {
    (hash_bytes(name.as_bytes()).0 % count as u64) as usize
}
