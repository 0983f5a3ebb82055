//! Kinds of pools.

use serde::{Deserialize, Serialize};

/// What the targets of a pool are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines that cache prompt prefixes and stream events.
    Model,
    /// Plain services, relayed as they are.
    Service,
}
