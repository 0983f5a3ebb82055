//! The control thread.

mod claim_service;
mod component_settings;
mod control_event;
mod control_loop;
mod control_thread;
mod frame_handling;
mod load_reading;
mod peer_in_flight_counts;
mod peer_server;
mod platform_tasks;
mod snapshot_builder;
mod snapshot_publishing;

pub(crate) use component_settings::{claim_settings, fleet_settings, key_ring};
pub(crate) use control_event::{ControlEvent, PeerPath};
pub(crate) use control_loop::ControlLoop;
pub(crate) use control_thread::{ControlContext, ControlInputs, ControlThread, local_host_entry};
pub(crate) use platform_tasks::{PlatformTasks, post_frame};
