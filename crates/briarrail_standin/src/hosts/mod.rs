//! Stand-in of the platform's host list.

mod host_list_faults;
mod host_list_settings;
mod host_list_standin;
mod host_log;

pub use host_list_faults::HostListFaults;
pub use host_list_settings::HostListSettings;
pub use host_list_standin::{HostListStandin, start_host_list};
