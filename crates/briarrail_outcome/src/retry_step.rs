//! What to do next for a request.

use crate::RequestOutcome;

/// What to do next for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryStep {
    /// Send the request to a target that was not tried yet.
    Send {
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// Ask for the rest of the answer from an offset.
    Resume {
        /// Number of the attempt.
        attempt: u32,
        /// Id of the first event wanted.
        offset: u64,
        /// Whether to ask the target that the answer broke off at, or another one.
        same_target: bool,
    },
    /// Relay the answer.
    Relay,
    /// End the request with this outcome.
    Finish(RequestOutcome),
}
