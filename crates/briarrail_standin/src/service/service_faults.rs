//! Faults of a plain service.

use serde::{Deserialize, Serialize};

/// Faults that a plain service injects; the default has none.
///
/// A field whose name ends in `_next` counts the upcoming requests that the fault affects.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Delay before a request runs, in milliseconds.
    pub delay_before_ms: u64,
    /// Delay between the run and its response, in milliseconds.
    pub delay_after_ms: u64,
    /// Requests rejected before they run, with the header `x-not-run`.
    pub refuse_next: u32,
    /// Requests whose connection is closed before they run, without a response that says so.
    pub drop_before_run_next: u32,
    /// Requests that run, but whose connection is closed without a response.
    pub drop_after_run_next: u32,
    /// Requests that run but get no response, on a connection that stays open.
    pub hang_after_run_next: u32,
    /// Requests that run, but whose response carries the ID of another request.
    pub wrong_id_next: u32,
}
