//! Orders to an engine.

use serde::{Deserialize, Serialize};

/// An order to an engine, such as to load a model, an adapter or a version, or to change its role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number of the lease that the sender holds.
    pub fencing: u64,
    /// Action to perform, such as `load-model`.
    pub action: String,
    /// Argument of the action, such as the name of a model.
    #[serde(default)]
    pub argument: String,
}
