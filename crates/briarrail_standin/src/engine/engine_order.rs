//! Orders to engines.

use serde::{Deserialize, Serialize};

/// An order to an engine: to load a model, an adapter or a version, or to change its role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number of the lease under which the order is given.
    pub fencing: u64,
    /// What is ordered, such as `load-model`.
    pub action: String,
    /// What it is ordered for, such as the name of a model.
    #[serde(default)]
    pub argument: String,
}
