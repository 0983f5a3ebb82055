//! Events of the fleet simulation and the state of its nodes.

use briarrail_fleet::{FleetNode, SendId, WatchOutcome};
use briarrail_model::{HostEntry, HostName};
use bytes::Bytes;

use super::fleet_simulation::RouterLocation;

/// An event of the simulation; `to` and `from` are router indices.
#[derive(Debug)]
pub(super) enum SimulationEvent {
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
    SendFailed {
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
    WatchCompleted {
        to: usize,
        outcome: WatchOutcome,
    },
    UpdateLoads,
    AcceptEdit,
    LeaveTarget,
    EndWindow,
    RestartRouter(usize),
    HostListed(usize),
    HostRemoved(usize),
}

/// An event with its time; ties are processed in the order of insertion.
#[derive(Debug)]
pub(super) struct ScheduledEvent {
    pub(super) at: u64,
    pub(super) order: u64,
    /// Incarnation of the router that scheduled the event; 0 for events of the whole simulation.
    /// Ticks, replies and reads that belong to an earlier incarnation are dropped.
    pub(super) incarnation: u64,
    pub(super) event: SimulationEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// A simulated router.
#[derive(Debug)]
pub(super) struct SimulatedNode {
    pub(super) fleet_node: FleetNode,
    pub(super) entry: HostEntry,
    pub(super) location: RouterLocation,
    pub(super) incarnation: u64,
    pub(super) is_up: bool,
    /// Sequence number of the adopted configuration; 0 for none.
    pub(super) sequence: u64,
    /// Generation of the host table at the last check for leaving targets.
    pub(super) generation: u64,
    /// Bytes of reads, and the frame bytes of earlier incarnations.
    pub(super) read_bytes: u64,
    /// Bytes at the start of the current window.
    pub(super) window_start_bytes: u64,
    /// Bytes at the end of the warm-up.
    pub(super) measured_start_bytes: u64,
    pub(super) reachable_since: u64,
    pub(super) loads_due_at: u64,
}

impl SimulatedNode {
    /// Returns all control bytes so far.
    pub(super) fn control_bytes(&self) -> u64 {
        let counters = self.fleet_node.counters();
        counters.bytes_sent + counters.bytes_received + self.read_bytes
    }
}

/// A leaving target and the routers of its region that have not learned of it.
#[derive(Debug)]
pub(super) struct LeavingTarget {
    pub(super) name: HostName,
    pub(super) region: usize,
    pub(super) since: u64,
    /// Whether the router with this index still has to learn of it.
    pub(super) unaware: Vec<bool>,
}
