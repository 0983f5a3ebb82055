//! Targets as traffic threads see them.

use std::net::SocketAddr;
use std::sync::Arc;

use briarrail_model::{HostEntry, HostName};

use super::TargetCounters;

/// One target of a pool.
#[derive(Debug, Clone)]
pub(crate) struct TargetEntry {
    /// Name of the host.
    pub(crate) name: HostName,
    /// Address of the service.
    pub(crate) address: SocketAddr,
    /// This router's own counts.
    pub(crate) counters: Arc<TargetCounters>,
}

impl TargetEntry {
    /// Makes an entry from the host list.
    pub(crate) fn new(host: &HostEntry, counters: Arc<TargetCounters>) -> Self {
        Self {
            name: host.name.clone(),
            address: host.address,
            counters,
        }
    }
}
