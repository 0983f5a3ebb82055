//! Settings of the host list stand-in.

use briarrail_model::HostEntry;

use crate::hosts::HostListFaults;

/// Settings of the host list stand-in.
#[derive(Debug, Clone, Default)]
pub struct HostListSettings {
    /// Hosts at the start.
    pub hosts: Vec<HostEntry>,
    /// Faults at the start.
    pub faults: HostListFaults,
}
