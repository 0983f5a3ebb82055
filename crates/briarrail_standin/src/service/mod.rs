//! Stand-in for a plain service.

mod ledger_entry;
mod run_ledger;
mod service_faults;
mod service_response;
mod service_settings;
mod service_standin;

pub use ledger_entry::LedgerEntry;
pub use service_faults::ServiceFaults;
pub use service_response::{ServiceResponse, body_digest};
pub use service_settings::ServiceSettings;
pub use service_standin::{ServiceStandin, start_service};
