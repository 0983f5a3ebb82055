//! Results of reading and watching the configuration.

use std::sync::Arc;

use briarrail_config::ConfigEdit;
use briarrail_model::ConfigSnapshot;

/// Result of a configuration read.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigRead {
    /// The edits after the requested sequence number; empty when there are none.
    Edits(Vec<ConfigEdit>),
    /// A full configuration.
    Snapshot(Arc<ConfigSnapshot>),
    /// The object API did not answer.
    Failed,
}

/// Result of a configuration watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The head changed.
    Changed,
    /// Nothing changed before the watch timed out.
    TimedOut,
    /// The object API did not answer.
    Failed,
}
