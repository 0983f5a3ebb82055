//! Shared data model: identifiers, units of time, routes, pools and their validation.
//!
//! All other crates of the workspace depend on these types. This crate performs no I/O and reads no
//! clock.

mod call_semantics;
mod config_snapshot;
mod host_entry;
mod host_phase;
mod load_record;
mod milli_time;
mod pool_kind;
mod pool_limits;
mod pool_row;
mod route_conditions;
mod route_index;
mod route_row;
mod routing_preference;
mod row_stamp;
mod service_objective;
mod stable_hash;
mod string_id;
mod table_error;
mod table_set;
mod target_selector;

pub use call_semantics::{CallPriority, CallSemantics, MissingKeyPolicy};
pub use config_snapshot::ConfigSnapshot;
pub use host_entry::HostEntry;
pub use host_phase::HostPhase;
pub use load_record::LoadRecord;
pub use milli_time::{MilliDuration, MilliTime};
pub use pool_kind::PoolKind;
pub use pool_limits::PoolLimits;
pub use pool_row::PoolRow;
pub use route_conditions::{RequestAttributes, RouteConditions};
pub use route_index::RouteIndex;
pub use route_row::RouteRow;
pub use routing_preference::RoutingPreference;
pub use row_stamp::RowStamp;
pub use service_objective::ServiceObjective;
pub use stable_hash::{StableHash, hash_bytes, hash_pair};
pub use string_id::{CustomerId, DataCentre, HostName, RegionName};
pub use table_error::{TableError, TableErrorKind};
pub use table_set::TableSet;
pub use target_selector::TargetSelector;
