//! The control thread: the store, the other routers, readiness and metrics.

mod config_codec;
mod control_loop;
mod control_state;
mod hub_server;
mod hub_sync;
mod local_server;
mod roster_log;
mod store_follower;

pub(crate) use control_loop::{ControlInputs, ControlListeners, log_terms, run_control};
