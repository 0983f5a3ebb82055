//! Counters of a fleet node.

use std::collections::BTreeMap;

/// Totals since the router started.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[non_exhaustive]
pub struct FleetCounters {
    /// Frames sent, including replies.
    pub frames_sent: u64,
    /// Frames received, including replies.
    pub frames_received: u64,
    /// Bytes sent, including headers.
    pub bytes_sent: u64,
    /// Bytes received, including headers.
    pub bytes_received: u64,
    /// Frames that failed authentication or decoding, by reason.
    pub bad_frames: BTreeMap<String, u64>,
    /// Frames dropped because the sender is not a router in the host list.
    pub unlisted_frames: u64,
    /// Frames dropped because they come from an earlier incarnation of the sender.
    pub stale_frames: u64,
    /// Edits and snapshots that could not be decoded or applied.
    pub rejected_edits: u64,
    /// Hosts that this router declared down.
    pub down_notices: u64,
    /// Notices that reported this router down and that it refuted.
    pub refutations: u64,
    /// Load records deferred to a later round by the byte budget or the limit per round.
    pub deferred_loads: u64,
    /// Received load records that did not supersede the stored one.
    pub duplicate_loads: u64,
    /// Received load records that were stored.
    pub fresh_loads: u64,
}
