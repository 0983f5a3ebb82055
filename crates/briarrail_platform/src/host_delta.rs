//! Changes of the host list.

use briarrail_model::{HostEntry, HostName};
use serde::{Deserialize, Serialize};

/// What changed in the host list since a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostDelta {
    /// Revision that the changes lead to.
    pub revision: u64,
    /// Whether `upserts` is the whole list, so that hosts missing from it are gone.
    pub full: bool,
    /// Hosts that were added or changed.
    pub upserts: Vec<HostEntry>,
    /// Hosts that were removed.
    pub removed: Vec<HostName>,
}
