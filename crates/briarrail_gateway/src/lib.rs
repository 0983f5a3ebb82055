//! Gateway between callers and the targets of a platform.
//!
//! The control thread owns the control state: it watches the platform's store, or follows the
//! router that reads the store for the others, and answers the load balancer's readiness checks.
//! The traffic thread forwards requests. Routing and retry decisions are made in
//! `briarrail_dispatch` and `briarrail_outcome`; header names and storage formats come from the
//! platform's [`WireDialect`] and [`SiteStore`].

mod control;
mod fleet_counts;
mod gateway_daemon;
mod net;
mod process_clock;
mod site_store;
mod store_revision;
mod telemetry;
mod traffic;
mod wire_dialect;

pub use gateway_daemon::{GatewayError, run_gateway};
pub use net::{CallClient, CallError, CallErrorKind, CallReply};
pub use process_clock::ProcessClock;
pub use site_store::{
    BlockedSuspectRecord, ConfigListing, EvacuationEvent, EvacuationListing, OriginPageRecord,
    ReadConsistency, RouterListing, RouterRecord, SiteStore, TargetEvent, TargetListing,
    VersionedConfig, WatchOutcome,
};
pub use store_revision::StoreRevision;
pub use telemetry::{GatewayMetrics, init_json_logs};
pub use wire_dialect::{
    CallerHeaders, HeaderError, PauseNotice, RefusalHeaders, ResponseHeaders, TargetHeaders,
    WireDialect,
};
