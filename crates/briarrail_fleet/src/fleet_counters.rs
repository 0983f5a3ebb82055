//! Counters of a router's fleet part.

use std::collections::BTreeMap;

/// Totals since the start of the router.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[non_exhaustive]
pub struct FleetCounters {
    /// Frames sent, replies included.
    pub frames_sent: u64,
    /// Frames received, replies included.
    pub frames_received: u64,
    /// Bytes sent, headers included.
    pub bytes_sent: u64,
    /// Bytes received, headers included.
    pub bytes_received: u64,
    /// Frames dropped, by the reason.
    pub bad_frames: BTreeMap<String, u64>,
    /// Frames dropped because their sender is not in the host list.
    pub unlisted_frames: u64,
    /// Frames dropped because their sender has been restarted since.
    pub stale_frames: u64,
    /// Edits that could not be decoded or applied.
    pub rejected_edits: u64,
    /// Notices of hosts that are down, made by this router.
    pub down_notices: u64,
    /// Notices that this router is down, refuted by it.
    pub refutations: u64,
    /// Load records that waited because the byte budget was spent.
    pub deferred_loads: u64,
    /// Load records received that were known already.
    pub duplicate_loads: u64,
    /// Load records received that were new.
    pub fresh_loads: u64,
}
