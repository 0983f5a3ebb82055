//! Snapshot of the fleet membership.

use std::sync::Arc;

use briarrail_model::HostEntry;

use crate::EffectivePhase;

/// One host with its phase.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostView {
    /// Entry in the platform's host list.
    pub entry: Arc<HostEntry>,
    /// Phase derived from the host list and the notices of routers.
    pub phase: EffectivePhase,
}

/// The routers and targets that a router knows, ordered by code.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Revision of the platform's host list.
    pub revision: u64,
    /// Hosts that run the same service as the router, including itself if it is listed.
    pub routers: Vec<HostView>,
    /// All other hosts.
    pub targets: Vec<HostView>,
}
