//! Requests for what a router missed.

use serde::{Deserialize, Serialize};

/// Asks a peer for what the sender misses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// Sequence number after which edits are wanted.
    #[serde(rename = "s")]
    pub after_sequence: Option<u64>,
    /// Revision of the host list after which changes are wanted.
    #[serde(rename = "r")]
    pub after_revision: Option<u64>,
    /// Whether a whole configuration is wanted when the edits don't reach back far enough.
    #[serde(rename = "w", default)]
    pub full_config: bool,
    /// Whether all notices are wanted.
    #[serde(rename = "n", default)]
    pub notices: bool,
    /// Whether all load records are wanted.
    #[serde(rename = "l", default)]
    pub loads: bool,
}
