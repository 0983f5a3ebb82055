//! Results of reading and watching the configuration.

use std::sync::Arc;

use briarrail_config::ConfigEdit;
use briarrail_model::ConfigSnapshot;

/// What a read of the configuration gave.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigRead {
    /// The edits after the sequence number that was asked for; none when there are none.
    Edits(Vec<ConfigEdit>),
    /// A whole configuration.
    Snapshot(Arc<ConfigSnapshot>),
    /// The object API did not answer.
    Failed,
}

/// How a watch of the configuration ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The head changed.
    Changed,
    /// Nothing changed before the watch timed out.
    TimedOut,
    /// The object API did not answer.
    Failed,
}
