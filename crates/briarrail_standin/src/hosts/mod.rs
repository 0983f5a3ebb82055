//! Stand-in of the platform's host list.

mod host_faults;
mod host_log;
mod host_settings;
mod host_standin;

pub use host_faults::HostFaults;
pub use host_settings::HostSettings;
pub use host_standin::{HostStandin, start_hosts};
