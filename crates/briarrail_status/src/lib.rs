//! What a router reports of itself to operators.
//!
//! A router answers `GET /status` on its operators' address with a [`RouterStatus`] as JSON. The
//! operator's tool reads it from every router. Unknown fields are tolerated, so that tool and
//! routers may differ in their release.

mod outcome_totals;
mod pool_status;
mod router_status;

pub use outcome_totals::OutcomeTotals;
pub use pool_status::{CacheTotals, PoolStatus, TargetStatus};
pub use router_status::{ControlTraffic, RouterPhase, RouterStatus};

/// Path of the status on a router's operators' address.
pub const STATUS_PATH: &str = "/status";
/// Path of the burn snapshot on a router's operators' address.
pub const BURN_PATH: &str = "/burn";
/// Label by which the host list names a router's operators' address, such as `10.0.0.4:7001`.
pub const OPERATORS_ADDRESS_LABEL: &str = "operators_address";
