//! Events of a case, ordered by time.

use std::cmp::Reverse;

use super::chat_source::ArrivalFacts;

/// One request on its way.
#[derive(Debug, Clone, Copy)]
pub(super) struct OpenRequest {
    pub(super) facts: ArrivalFacts,
    pub(super) arrived_at: u64,
    pub(super) router: u32,
    /// Whether it ran on an engine that stopped.
    pub(super) resent: bool,
}

/// One stream at an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct OpenStream {
    pub(super) request: OpenRequest,
    pub(super) engine: u32,
    pub(super) hit: bool,
    pub(super) alive: bool,
}

#[derive(Debug, Clone, Copy)]
pub(super) enum FleetEvent {
    Arrive,
    Dispatch(OpenRequest),
    Finish(u32),
    Tick,
}

pub(super) struct TimedEvent {
    pub(super) key: Reverse<(u64, u64)>,
    pub(super) event: FleetEvent,
}

impl PartialEq for TimedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl Eq for TimedEvent {}

impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key.cmp(&other.key)
    }
}
