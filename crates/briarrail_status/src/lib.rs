//! Status that a router reports to operators.
//!
//! A router answers `GET /status` on its operators' address with a [`RouterStatus`] as JSON, which
//! `briarctl` reads from every router. Unknown fields are ignored, and most missing fields have
//! defaults, so that `briarctl` and the routers can run different releases.

mod outcome_totals;
mod pool_status;
mod router_status;

pub use outcome_totals::OutcomeTotals;
pub use pool_status::{CacheTotals, PoolStatus, TargetStatus};
pub use router_status::{ControlTraffic, RouterPhase, RouterStatus};

/// Path of the status endpoint on a router's operators' address.
pub const STATUS_PATH: &str = "/status";
/// Path of the burn snapshot endpoint on a router's operators' address.
pub const BURN_PATH: &str = "/burn";
/// Host label whose value is a router's operators' address, such as `10.0.0.4:7001`.
pub const OPERATORS_ADDRESS_LABEL: &str = "operators_address";
