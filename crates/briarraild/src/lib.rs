//! The router daemon.
//!
//! One thread owns control state and publishes immutable snapshots; the traffic threads read
//! them and relay requests from callers to targets.

mod control;
mod operators;
mod router_daemon;
mod start_error;
mod state;
mod system_clock;
mod telemetry;
mod traffic;

pub use router_daemon::{RouterDaemon, RunningRouter};
pub use start_error::{StartError, StartErrorKind};
pub use telemetry::init_logs;
