//! Calls that end before they are sent to a target.

use briarrail_model::MilliDuration;
use briarrail_outcome::{NotRunReason, OutcomeReply, RequestOutcome};
use http::StatusCode;

use super::CallerReply;

/// Outcome and reply of a call that ends before it is sent to a target.
pub(crate) struct CallRefusal {
    /// Outcome of the call.
    pub(crate) outcome: RequestOutcome,
    /// Reply for the caller.
    pub(crate) reply: CallerReply,
}

impl CallRefusal {
    /// Creates a refusal with the reply that belongs to an outcome.
    pub(crate) fn from_outcome(outcome: RequestOutcome) -> Box<Self> {
        Self::with_reply(outcome, OutcomeReply::from(outcome))
    }

    /// Creates a refusal of a call that was not run.
    pub(crate) fn not_run(reason: NotRunReason) -> Box<Self> {
        Self::from_outcome(RequestOutcome::NotRun(reason))
    }

    /// Creates a refusal whose body describes the error in a `detail` field.
    pub(crate) fn with_detail(reason: NotRunReason, detail: &str) -> Box<Self> {
        let outcome = RequestOutcome::NotRun(reason);
        Self::with_reply(outcome, OutcomeReply::from(outcome).with_detail(detail))
    }

    /// Creates a refusal of a call because of overload, with a `Retry-After` header.
    pub(crate) fn overloaded(retry_after: MilliDuration) -> Box<Self> {
        let outcome = RequestOutcome::NotRun(NotRunReason::Overloaded);
        Box::new(Self {
            outcome,
            reply: CallerReply::overloaded(retry_after),
        })
    }

    /// Creates a refusal that replays the recorded answer of an earlier call with the same key.
    pub(crate) fn replayed(reply: CallerReply) -> Box<Self> {
        Box::new(Self {
            outcome: RequestOutcome::Answered,
            reply,
        })
    }

    /// Replaces the HTTP status.
    pub(crate) fn with_status(mut self: Box<Self>, status: StatusCode) -> Box<Self> {
        self.reply.status = status;
        self
    }

    fn with_reply(outcome: RequestOutcome, reply: OutcomeReply) -> Box<Self> {
        Box::new(Self {
            outcome,
            reply: CallerReply::from_outcome(reply),
        })
    }
}
