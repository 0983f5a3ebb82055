//! Stand-in for the platform's host list.

mod host_change_log;
mod host_list_faults;
mod host_list_settings;
mod host_list_standin;

pub use host_list_faults::HostListFaults;
pub use host_list_settings::HostListSettings;
pub use host_list_standin::{HostListStandin, start_host_list};
