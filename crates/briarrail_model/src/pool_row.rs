//! Rows of the pools table.

use serde::{Deserialize, Serialize};

use crate::{PoolKind, PoolLimits, RoutingPreference, RowStamp, ServiceObjective, TargetSelector};

/// One row of the pools table: the targets able to serve, and how to spread load over them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolRow {
    /// Name of the row, unique in its table.
    pub name: String,
    /// What the targets are.
    pub kind: PoolKind,
    /// Hosts that are targets of the pool.
    pub targets: TargetSelector,
    /// Whether the targets report their load.
    #[serde(default)]
    pub reports_load: bool,
    /// Greatest multiple of the mean load that a target may carry.
    #[serde(default = "default_skew_bound")]
    pub skew_bound: f64,
    /// What to prefer where even load and cache reuse disagree.
    #[serde(default)]
    pub preference: RoutingPreference,
    /// Limits of the pool.
    #[serde(default)]
    pub limits: PoolLimits,
    /// What the callers are promised.
    #[serde(default)]
    pub objective: ServiceObjective,
    /// Version and editor; set when the edit is accepted.
    #[serde(default)]
    pub stamp: RowStamp,
}

const fn default_skew_bound() -> f64 {
    1.5
}
