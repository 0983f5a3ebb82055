//! Changes of the host list as sent between routers.

use briarrail_model::{HostEntry, HostName, HostPhase, hash_bytes};
use serde::{Deserialize, Serialize};

/// An update of a host of which only the phase or the incarnation changed.
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
    /// Hash of the unchanged fields; a receiver whose entry differs in them rejects the patch.
    #[serde(rename = "s")]
    pub unchanged_hash: u32,
}

impl HostPatch {
    /// Creates the patch that results in `entry`.
    #[must_use]
    pub fn new(entry: &HostEntry) -> Self {
        Self {
            host: entry.name.stable_hash().0 as u32,
            leaving: entry.phase == HostPhase::Leaving,
            incarnation: entry.incarnation,
            unchanged_hash: hash_unchanged_fields(entry),
        }
    }

    /// Returns the patched entry, or `None` if unchanged fields of the known entry differ.
    #[must_use]
    pub fn apply_to(&self, known: &HostEntry) -> Option<HostEntry> {
        let entry = HostEntry {
            phase: self.phase(),
            incarnation: self.incarnation,
            ..known.clone()
        };
        (hash_unchanged_fields(known) == self.unchanged_hash).then_some(entry)
    }

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

fn hash_unchanged_fields(entry: &HostEntry) -> u32 {
    let normalized = HostEntry {
        phase: HostPhase::Live,
        incarnation: 0,
        ..entry.clone()
    };
    // Every entry can be encoded; the fallback would only make fewer patches match.
    let encoded = rmp_serde::to_vec(&normalized).unwrap_or_default();
    hash_bytes(&encoded).0 as u32
}

/// Changes of the hosts of one region between two revisions of the host list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostListUpdate {
    /// Revision that the changes are based on.
    #[serde(rename = "f")]
    pub base_revision: u64,
    /// Revision after the changes.
    #[serde(rename = "t")]
    pub revision: u64,
    /// Hosts that are new or changed in more than the phase and the incarnation.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub upserts: Vec<HostEntry>,
    /// Hosts of which only the phase or the incarnation changed.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub patches: Vec<HostPatch>,
    /// Hosts that were removed.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<HostName>,
}
