//! Next step of a request.

use crate::RequestOutcome;

/// Next step that the caller of [`RetryMachine`](crate::RetryMachine) has to perform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryStep {
    /// Send the request to a target that was not tried yet.
    Send {
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// Request the rest of the response from an offset.
    Resume {
        /// Number of the attempt.
        attempt: u32,
        /// Id of the first event to request.
        offset: u64,
        /// Whether to ask the target whose response was interrupted, or another one.
        same_target: bool,
    },
    /// Stay with the silent target, which still has the request.
    KeepTarget,
    /// Relay the response.
    Relay,
    /// End the request with this outcome.
    Finish(RequestOutcome),
}
