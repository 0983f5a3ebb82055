//! The control thread.

mod claim_desk;
mod control_event;
mod control_loop;
mod control_thread;
mod fleet_setup;
mod frame_handling;
mod load_reading;
mod peer_counts;
mod peer_server;
mod platform_tasks;
mod snapshot_builder;
mod view_publishing;

pub(crate) use control_event::{ControlEvent, PeerPath};
pub(crate) use control_loop::ControlLoop;
pub(crate) use control_thread::{ControlContext, ControlStart, ControlThread, own_entry};
pub(crate) use fleet_setup::{claim_settings, fleet_settings, key_ring};
pub(crate) use platform_tasks::{PlatformTasks, post_frame};
