//! Events and steps of a claim on the entry router.

use briarrail_model::MilliDuration;
use briarrail_peer::{ClaimAnswer, ClaimReply};

use crate::RequestOutcome;

/// What happened to a claim on its entry router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEvent {
    /// The asked router replied.
    Reply(ClaimReply),
    /// The asked router could not be reached; nothing was delivered.
    Undelivered,
    /// The request was sent and no reply came.
    ReplyLost,
    /// The time is up, the caller has left, or the router stops.
    Cancelled,
}

/// What the entry router does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Ask a candidate of the bucket.
    Ask {
        /// Rank of the candidate, from 0.
        candidate: usize,
        /// Pause before asking.
        delay: MilliDuration,
    },
    /// Send the request to a target; a claim returns this once at most.
    Send {
        /// Fencing number that goes with the request.
        fencing: u64,
    },
    /// Repeat the recorded answer of an earlier call.
    Replay(ClaimAnswer),
    /// Tell the caller this outcome.
    Finish {
        /// The outcome.
        outcome: RequestOutcome,
        /// Whether to report the claim as not run, since it may be durable or become so.
        release: bool,
    },
    /// Report the claim as not run; the caller has its outcome already.
    Release,
    /// Nothing.
    Ignore,
}
