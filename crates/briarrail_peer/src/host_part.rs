//! Changes of the host list as they travel.

use briarrail_model::{HostEntry, HostName, HostPhase};
use serde::{Deserialize, Serialize};

/// A host whose phase or incarnation changed and nothing else.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostPatch {
    /// Low 32 bits of the stable hash of the host's name.
    #[serde(rename = "k")]
    pub host: u32,
    /// Whether the host is leaving.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Incarnation of the host.
    #[serde(rename = "i")]
    pub incarnation: u64,
}

impl HostPatch {
    /// Returns the phase that the patch sets.
    #[must_use]
    pub fn phase(&self) -> HostPhase {
        if self.leaving {
            HostPhase::Leaving
        } else {
            HostPhase::Live
        }
    }
}

/// Changes of the hosts of one region between two revisions of the host list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostPart {
    /// Revision that the changes start from.
    #[serde(rename = "f")]
    pub since: u64,
    /// Revision that the changes lead to.
    #[serde(rename = "t")]
    pub revision: u64,
    /// Hosts that are new or moved.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub upserts: Vec<HostEntry>,
    /// Hosts of which only the phase or the incarnation changed.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub patches: Vec<HostPatch>,
    /// Hosts that were removed.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<HostName>,
}
