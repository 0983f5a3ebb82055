//! What a router needs to catch up.

use briarrail_model::ConfigSnapshot;

use crate::ConfigEdit;

/// The difference between a router's sequence number and the head's.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigUpdate {
    /// The router is at the head.
    UpToDate,
    /// The edits that the router lacks, oldest first.
    Edits(Vec<ConfigEdit>),
    /// The whole tables, since the edits in between are no longer kept.
    Snapshot(ConfigSnapshot),
}
