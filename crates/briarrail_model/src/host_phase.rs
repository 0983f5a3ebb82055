//! Lifecycle phases of a host.

use serde::{Deserialize, Serialize};

/// Lifecycle phase of a host, as reported in the platform's host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostPhase {
    /// The host accepts new work.
    Live,
    /// The host completes the work that it has and accepts no new work.
    Leaving,
}
