//! The router daemon.
//!
//! The control thread owns the control state and publishes immutable routing snapshots. The traffic
//! threads read the snapshots and relay requests from callers to targets.

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
