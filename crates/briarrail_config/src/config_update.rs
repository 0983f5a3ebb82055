//! Update that brings a router to the current configuration.

use briarrail_model::ConfigSnapshot;

use crate::ConfigEdit;

/// Update from a router's sequence number to that of the head.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigUpdate {
    /// The router already has the configuration of the head.
    UpToDate,
    /// The missing edits, oldest first.
    Edits(Vec<ConfigEdit>),
    /// The complete tables, because some of the missing edits are no longer stored.
    Snapshot(ConfigSnapshot),
}
