//! Settings of the host list stand-in.

use briarrail_model::HostEntry;

use crate::hosts::HostFaults;

/// Settings of the host list stand-in.
#[derive(Debug, Clone, Default)]
pub struct HostSettings {
    /// Hosts at the start.
    pub hosts: Vec<HostEntry>,
    /// Faults at the start.
    pub faults: HostFaults,
}
