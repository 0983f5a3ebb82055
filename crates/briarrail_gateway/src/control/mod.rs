//! The control thread: the store, the other routers, readiness and metrics.

use std::cell::RefCell;
use std::rc::Rc;

mod config_codec;
mod config_reads;
mod control_loop;
mod control_state;
mod hub_server;
mod hub_sync;
mod local_server;
mod roster_log;
mod router_entries;
mod store_follower;
mod store_health;
mod target_reads;

use control_state::ControlState;

pub(crate) use control_loop::{ControlInputs, ControlListeners, log_terms, run_control};

/// State that the tasks of the control thread share.
type SharedControl = Rc<RefCell<ControlState>>;
