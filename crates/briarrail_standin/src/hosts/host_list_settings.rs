//! Settings of the host list stand-in.

use briarrail_model::HostEntry;

use crate::hosts::HostListFaults;

/// Settings of the host list stand-in.
#[derive(Debug, Clone, Default)]
pub struct HostListSettings {
    /// Initial hosts.
    pub hosts: Vec<HostEntry>,
    /// Initial faults.
    pub faults: HostListFaults,
}
