//! What the traffic side sees of the fleet.

use std::sync::Arc;

use briarrail_model::HostEntry;

use crate::EffectivePhase;

/// One host with its phase.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostView {
    /// Entry of the platform's list.
    pub entry: Arc<HostEntry>,
    /// Phase by the list and the routers' evidence together.
    pub phase: EffectivePhase,
}

/// The routers and targets that a router knows, in the order of their codes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Revision of the platform's list.
    pub revision: u64,
    /// Hosts that run the router's own service, itself included when it is listed.
    pub routers: Vec<HostView>,
    /// All other hosts.
    pub targets: Vec<HostView>,
}
