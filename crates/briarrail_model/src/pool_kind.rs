//! Kinds of pools.

use serde::{Deserialize, Serialize};

/// What kind of service the targets of a pool run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines, which cache prompt prefixes and stream events.
    Model,
    /// Other services, whose requests and responses are relayed unmodified.
    Service,
}
