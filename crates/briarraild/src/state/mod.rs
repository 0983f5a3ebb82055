//! State that control and traffic threads share.

mod control_rate;
mod outcome_counts;
mod pool_entry;
mod pool_runtime;
mod routing_snapshot;
mod shared_state;
mod stop_phase;
mod target_counters;
mod target_entry;

pub(crate) use control_rate::{ControlBytes, ControlRate};
pub(crate) use outcome_counts::OutcomeCounts;
pub(crate) use pool_entry::{PoolEntry, TargetPick};
pub(crate) use pool_runtime::PoolRuntime;
pub(crate) use routing_snapshot::{RouteMatch, RoutingSnapshot};
pub(crate) use shared_state::{RequestGuard, SharedState};
pub(crate) use stop_phase::StopPhase;
pub(crate) use target_counters::{InFlightGuard, TargetCounters};
pub(crate) use target_entry::TargetEntry;
