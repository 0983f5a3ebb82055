//! The control thread: the store, the other routers, readiness and metrics.

use std::cell::RefCell;
use std::rc::Rc;

mod config_codec;
mod config_exchange;
mod config_watcher;
mod control_loop;
mod control_state;
mod deflate_codec;
mod evacuation_exchange;
mod evacuation_watcher;
mod hub_server;
mod hub_sync;
mod live_router;
mod member_list;
mod monitoring_server;
mod origin_exchange;
mod origin_inference;
mod origin_pages;
mod origin_queries;
mod origin_store;
mod release_admission;
mod release_gating;
mod release_records;
mod roster_codec;
mod roster_log;
mod router_registration;
mod store_health;
mod store_watcher;
mod suspect_exchange;
mod target_watcher;
mod task_supervisor;
mod thread_monitor;
mod unreadable_entries;

use control_state::ControlState;

pub(crate) use control_loop::{ControlInputs, ControlListeners, log_fleet_settings, run_control};
pub(crate) use thread_monitor::{CHECK_INTERVAL, exit_without_traffic};

/// State shared by the tasks of the control thread.
type SharedControlState = Rc<RefCell<ControlState>>;
