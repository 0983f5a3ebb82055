//! Calls that end before anything is sent.

use briarrail_model::MilliDuration;
use briarrail_outcome::{NotRunReason, OutcomeReply, RequestOutcome};
use http::StatusCode;

use super::CallerReply;

/// The reply to a call that ends before anything is sent, and its outcome.
pub(crate) struct CallRefusal {
    /// Outcome of the call.
    pub(crate) outcome: RequestOutcome,
    /// Reply for the caller.
    pub(crate) reply: CallerReply,
}

impl CallRefusal {
    /// Ends a call with an outcome.
    pub(crate) fn from_outcome(outcome: RequestOutcome) -> Box<Self> {
        Self::with_reply(outcome, OutcomeReply::from(outcome))
    }

    /// Refuses a call.
    pub(crate) fn not_run(reason: NotRunReason) -> Box<Self> {
        Self::from_outcome(RequestOutcome::NotRun(reason))
    }

    /// Refuses a call and says what exactly was wrong.
    pub(crate) fn with_detail(reason: NotRunReason, detail: &str) -> Box<Self> {
        let outcome = RequestOutcome::NotRun(reason);
        Self::with_reply(outcome, OutcomeReply::from(outcome).with_detail(detail))
    }

    /// Refuses a call since its pool is full.
    pub(crate) fn overloaded(retry_after: MilliDuration) -> Box<Self> {
        let outcome = RequestOutcome::NotRun(NotRunReason::Overloaded);
        Box::new(Self {
            outcome,
            reply: CallerReply::overloaded(retry_after),
        })
    }

    /// Ends a call with the recorded answer of an earlier one.
    pub(crate) fn repeated(reply: CallerReply) -> Box<Self> {
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
