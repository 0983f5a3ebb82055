//! The gateway between callers and the targets of a platform.
//!
//! One thread owns control state: it follows the platform's store, or the router that reads it
//! for the others, and answers the balancer. Another carries the traffic. Decisions are made in
//! `briarrail_dispatch` and `briarrail_outcome`; names and formats come from the platform's
//! [`WireDialect`] and [`SiteStore`].

mod control;
mod gateway_daemon;
mod net;
mod process_clock;
mod site_store;
mod telemetry;
mod traffic;
mod wire_dialect;

pub use gateway_daemon::{GatewayError, run_gateway};
pub use net::{CallClient, CallError, CallErrorKind, CallReply};
pub use process_clock::ProcessClock;
pub use site_store::{
    ConfigListing, ReadConsistency, RouterRecord, SiteStore, TargetEvent, TargetListing,
    VersionedConfig, WatchOutcome,
};
pub use telemetry::{GatewayMetrics, init_json_logs};
pub use wire_dialect::{
    CallerHeaders, HeaderError, RefusalHeaders, ResponseHeaders, TargetHeaders, WireDialect,
};
