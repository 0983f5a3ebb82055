//! Incremental update of the host list.

use briarrail_model::{HostEntry, HostName};
use serde::{Deserialize, Serialize};

/// Changes to the host list since a given revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostDelta {
    /// Revision of the host list after these changes.
    pub revision: u64,
    /// Whether `upserts` is the full list, in which case hosts not in it have been removed.
    pub full: bool,
    /// Hosts that were added or changed.
    pub upserts: Vec<HostEntry>,
    /// Hosts that were removed.
    pub removed: Vec<HostName>,
}
