//! Rows of the pools table.

use serde::{Deserialize, Serialize};

use crate::{PoolKind, PoolLimits, RoutingPreference, RowStamp, ServiceObjective, TargetSelector};

/// A row of the pools table: a group of targets and how to balance load over them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolRow {
    /// Name of the pool, unique in the table.
    pub name: String,
    /// What kind of service the targets run.
    pub kind: PoolKind,
    /// Selects the hosts that are targets of the pool.
    pub targets: TargetSelector,
    /// Whether the targets report their load.
    #[serde(default)]
    pub reports_load: bool,
    /// Maximum load of a target, as a multiple of the mean load.
    #[serde(default = "default_skew_bound")]
    pub skew_bound: f64,
    /// What to prefer if even load and cache reuse conflict.
    #[serde(default)]
    pub preference: RoutingPreference,
    /// Request limits of the pool.
    #[serde(default)]
    pub limits: PoolLimits,
    /// Service-level objectives of the pool.
    #[serde(default)]
    pub objective: ServiceObjective,
    /// Version and author of the last edit; set when the edit is accepted.
    #[serde(default)]
    pub stamp: RowStamp,
}

const fn default_skew_bound() -> f64 {
    1.5
}
