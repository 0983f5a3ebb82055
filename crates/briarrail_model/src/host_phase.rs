//! Phases of a host in the platform's list.

use serde::{Deserialize, Serialize};

/// The phase of a host, as the platform's list gives it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostPhase {
    /// The host takes new work.
    Live,
    /// The host finishes what it has and takes no new work.
    Leaving,
}
