//! Changes to the host list.

use std::sync::Arc;

use briarrail_model::{HostEntry, HostName};
use briarrail_platform::HostDelta;

/// Changes between two revisions of the platform's host list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostChange {
    /// Revision on which the changes are based.
    pub since: u64,
    /// Revision after the changes.
    pub revision: u64,
    /// Whether `upserts` is the full list.
    pub full: bool,
    /// Hosts that were added or changed.
    pub upserts: Vec<Arc<HostEntry>>,
    /// Hosts that were removed.
    pub removed: Vec<HostName>,
}

impl HostChange {
    /// Creates the change from the delta that the platform returned for `since`.
    #[must_use]
    pub fn from_delta(since: u64, delta: HostDelta) -> Self {
        Self {
            since,
            revision: delta.revision,
            full: delta.full,
            upserts: delta.upserts.into_iter().map(Arc::new).collect(),
            removed: delta.removed,
        }
    }
}
