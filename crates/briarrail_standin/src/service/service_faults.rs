//! Faults of a plain service.

use serde::{Deserialize, Serialize};

/// Faults of a plain service; the default has none.
///
/// A count says for how many calls to come the fault strikes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Delay before a call runs, in milliseconds.
    pub delay_before_ms: u64,
    /// Delay between the run and its answer, in milliseconds.
    pub delay_after_ms: u64,
    /// Calls refused before running, with the proof of it.
    pub refuse_next: u32,
    /// Calls whose connection is closed before they run, without a proof.
    pub drop_before_run_next: u32,
    /// Calls that run, and whose connection is closed in place of an answer.
    pub drop_after_run_next: u32,
    /// Calls that run and get no answer, on a connection that stays open.
    pub hang_after_run_next: u32,
    /// Calls that run, and whose answer carries the identifier of another request.
    pub wrong_id_next: u32,
}
