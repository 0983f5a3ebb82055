//! Events and steps of a claim on the entry router.

use briarrail_model::MilliDuration;
use briarrail_peer::{ClaimAnswer, ClaimReply};

use crate::RequestOutcome;

/// An event of a claim on the entry router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEvent {
    /// A candidate replied.
    Reply(ClaimReply),
    /// The candidate could not be reached; the claim request was not delivered.
    Undelivered,
    /// The claim request was sent, but no reply arrived.
    ReplyLost,
    /// The deadline has passed, the caller has disconnected, or the router is shutting down.
    Cancelled,
}

/// The next step of the entry router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Send the claim request to a candidate owner of the bucket.
    Ask {
        /// Rank of the candidate, from 0.
        candidate: usize,
        /// Delay before sending.
        delay: MilliDuration,
    },
    /// Send the request to a target; returned at most once per claim.
    Send {
        /// Fencing number to send with the request.
        fencing: u64,
    },
    /// Return the recorded answer of an earlier call to the caller.
    Replay(ClaimAnswer),
    /// Return an outcome to the caller.
    Finish {
        /// The outcome.
        outcome: RequestOutcome,
        /// Whether to report the claim as not run, since it may be stored now or later.
        release: bool,
    },
    /// Report the claim as not run; the caller already has its outcome.
    Release,
    /// Do nothing.
    Ignore,
}
