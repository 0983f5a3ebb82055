//! Requests for data that a router is missing.

use serde::{Deserialize, Serialize};

/// Asks a peer for data that the sender is missing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// Requests the edits after this sequence number.
    #[serde(rename = "s")]
    pub after_sequence: Option<u64>,
    /// Requests the host list changes after this revision.
    #[serde(rename = "r")]
    pub after_revision: Option<u64>,
    /// Whether to send the complete configuration if the peer no longer has the edits.
    #[serde(rename = "w", default)]
    pub full_config: bool,
    /// Whether to send all notices.
    #[serde(rename = "n", default)]
    pub notices: bool,
    /// Whether to send all load records.
    #[serde(rename = "l", default)]
    pub loads: bool,
}
