//! Targets of a routing snapshot.

use std::net::SocketAddr;
use std::sync::Arc;

use briarrail_model::{HostEntry, HostName, HostPhase};
use briarrail_policy::TargetInput;

use super::TargetCounters;

/// A target of a pool.
#[derive(Debug, Clone)]
pub(crate) struct TargetEntry {
    /// Name of the host.
    pub(crate) name: HostName,
    /// Phase for placement, from the host list and what routers observed.
    pub(crate) phase: HostPhase,
    /// Number of streams in the latest load record.
    pub(crate) load: Option<u32>,
    /// Address of the service.
    pub(crate) address: SocketAddr,
    /// Counters of this router's requests to the target.
    pub(crate) counters: Arc<TargetCounters>,
}

impl TargetEntry {
    /// Creates an entry from a host and its placement input.
    pub(crate) fn new(
        host: &HostEntry,
        input: &TargetInput,
        counters: Arc<TargetCounters>,
    ) -> Self {
        Self {
            phase: input.phase,
            load: input.load.map(|record| record.streams),
            name: host.name.clone(),
            address: host.address,
            counters,
        }
    }
}
