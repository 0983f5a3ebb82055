//! Events of the bench and the nodes that they reach.

use briarrail_fleet::{FleetNode, SendId, WatchOutcome};
use briarrail_model::{HostEntry, HostName};
use bytes::Bytes;

use super::bench_fleet::Place;

#[derive(Debug)]
pub(super) enum BenchEvent {
    Tick(usize),
    Frame {
        from: usize,
        to: usize,
        id: SendId,
        frame: Bytes,
    },
    Reply {
        to: usize,
        id: SendId,
        frame: Bytes,
    },
    Failed {
        to: usize,
        id: SendId,
    },
    HostsRead {
        to: usize,
        since: u64,
    },
    ConfigRead {
        to: usize,
        after: u64,
    },
    Watched {
        to: usize,
        outcome: WatchOutcome,
    },
    Loads,
    Edit,
    Leaving,
    Window,
    Restart(usize),
    Listed(usize),
    Removed(usize),
}

#[derive(Debug)]
pub(super) struct Scheduled {
    pub(super) at: u64,
    pub(super) order: u64,
    /// Incarnation of the router that the event is for; 0 for none.
    pub(super) incarnation: u64,
    pub(super) event: BenchEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

#[derive(Debug)]
pub(super) struct BenchNode {
    pub(super) node: FleetNode,
    pub(super) entry: HostEntry,
    pub(super) place: Place,
    pub(super) incarnation: u64,
    pub(super) is_up: bool,
    pub(super) sequence: u64,
    pub(super) generation: u64,
    pub(super) read_bytes: u64,
    pub(super) window_start: u64,
    pub(super) measured_start: u64,
    pub(super) reachable_since: u64,
    pub(super) loads_due: u64,
}

impl BenchNode {
    pub(super) fn bytes(&self) -> u64 {
        let counters = self.node.counters();
        counters.bytes_sent + counters.bytes_received + self.read_bytes
    }
}

#[derive(Debug)]
pub(super) struct LeavingTarget {
    pub(super) name: HostName,
    pub(super) region: usize,
    pub(super) since: u64,
    pub(super) unaware: Vec<bool>,
}
