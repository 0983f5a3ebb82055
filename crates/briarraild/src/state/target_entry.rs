//! Targets as traffic threads see them.

use std::net::SocketAddr;
use std::sync::Arc;

use briarrail_model::{HostEntry, HostName, HostPhase};
use briarrail_policy::TargetInput;

use super::TargetCounters;

/// One target of a pool.
#[derive(Debug, Clone)]
pub(crate) struct TargetEntry {
    /// Name of the host.
    pub(crate) name: HostName,
    /// Phase of the host, by the list and the routers' evidence together.
    pub(crate) phase: HostPhase,
    /// Streams that the target reported last.
    pub(crate) load: Option<u32>,
    /// Address of the service.
    pub(crate) address: SocketAddr,
    /// This router's own counts.
    pub(crate) counters: Arc<TargetCounters>,
}

impl TargetEntry {
    /// Makes an entry from a host and what placement knows of it.
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
