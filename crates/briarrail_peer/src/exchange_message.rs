//! The message that routers exchange periodically and on urgent changes.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{HostListUpdate, LoadItem, NoticeItem, PullRequest};

/// State that one router sends to another.
///
/// Optional parts take no bytes when they are absent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeMessage {
    /// Sequence number of the sender's configuration.
    #[serde(rename = "s", default)]
    pub sequence: u64,
    /// Revision of the sender's host list.
    #[serde(rename = "r", default)]
    pub revision: u64,
    /// Hash of the notices that the sender holds.
    #[serde(rename = "d", default)]
    pub notice_digest: u32,
    /// Number of ring successors to which the receiver relays the urgent parts.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub relay_successors: Option<u16>,
    /// Id of the broadcast that the urgent parts belong to.
    #[serde(rename = "q", default, skip_serializing_if = "Option::is_none")]
    pub broadcast_id: Option<u64>,
    /// Encoded edits of the configuration, in ascending order.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub edits: Vec<Bytes>,
    /// Changes of the host list.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub hosts: Option<HostListUpdate>,
    /// Packed [`NoticeItem`]s.
    #[serde(rename = "n", default, skip_serializing_if = "Bytes::is_empty")]
    pub notices: Bytes,
    /// Packed [`LoadItem`]s.
    #[serde(rename = "l", default, skip_serializing_if = "Bytes::is_empty")]
    pub loads: Bytes,
    /// Data that the sender is missing.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub pull: Option<PullRequest>,
    /// A complete encoded configuration.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub snapshot: Option<Bytes>,
    /// Low 32 bits of the stable name hash of a host that the sender could not reach and asks the
    /// receiver to probe.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub probe_host: Option<u32>,
}

impl ExchangeMessage {
    /// Returns the load records; empty if their length is invalid.
    pub fn load_items(&self) -> impl Iterator<Item = LoadItem> + '_ {
        LoadItem::unpack_all(&self.loads)
    }

    /// Returns the notices; empty if their length is invalid. Notices with an unknown state are
    /// skipped.
    pub fn notice_items(&self) -> impl Iterator<Item = NoticeItem> + '_ {
        NoticeItem::unpack_all(&self.notices)
    }
}
