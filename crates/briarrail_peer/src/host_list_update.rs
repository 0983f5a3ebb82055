//! Changes of the host list as they travel.

use briarrail_model::{HostEntry, HostName, HostPhase, hash_bytes};
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
    /// Hash of the fields that did not change, so that a receiver with others refuses the patch.
    #[serde(rename = "s")]
    pub unchanged_hash: u32,
}

impl HostPatch {
    /// Makes the patch that leads to an entry.
    #[must_use]
    pub fn new(entry: &HostEntry) -> Self {
        Self {
            host: entry.name.stable_hash().0 as u32,
            leaving: entry.phase == HostPhase::Leaving,
            incarnation: entry.incarnation,
            unchanged_hash: hash_unchanged_fields(entry),
        }
    }

    /// Returns the entry that the patch leads to, or none when it does not fit the known entry.
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
    // Every entry can be encoded; an empty hash would only make patches fit less often.
    let encoded = rmp_serde::to_vec(&normalized).unwrap_or_default();
    hash_bytes(&encoded).0 as u32
}

/// Changes of the hosts of one region between two revisions of the host list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostListUpdate {
    /// Revision that the changes start from.
    #[serde(rename = "f")]
    pub base_revision: u64,
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
