//! Events of the simulation, ordered by time and then by insertion.

use std::cmp::Reverse;

use super::arrival_generator::RequestAttributes;

/// A request and the router that received it.
#[derive(Debug, Clone, Copy)]
pub(super) struct SimulatedRequest {
    pub(super) attributes: RequestAttributes,
    pub(super) arrived_at: u64,
    pub(super) router: u32,
    /// Whether the request was dispatched again because its engine stopped.
    pub(super) resent: bool,
}

/// A stream that runs or waits on an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineStream {
    pub(super) request: SimulatedRequest,
    pub(super) engine: u32,
    pub(super) cache_hit: bool,
    /// False once the engine has stopped; the pending `StreamEnd` event is then ignored.
    pub(super) is_active: bool,
}

/// An event of the simulation.
#[derive(Debug, Clone, Copy)]
pub(super) enum SimulationEvent {
    Arrival,
    Dispatch(SimulatedRequest),
    /// The stream with this id ends.
    StreamEnd(u32),
    Tick,
}

/// An event with its time.
pub(super) struct ScheduledEvent {
    /// Time in milliseconds and sequence number, reversed so that the heap yields the earliest
    /// event.
    pub(super) key: Reverse<(u64, u64)>,
    pub(super) event: SimulationEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
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
        self.key.cmp(&other.key)
    }
}
