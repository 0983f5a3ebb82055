//! What is recorded of one request.

use briarrail_outcome::{RequestOutcome, SendAgain};

use crate::{ObjectiveCounts, StreamCounts};

/// How an outcome counts against the objectives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeClass {
    /// The request was answered.
    Answered,
    /// The caller made a mistake; the request counts against no objective.
    CallerError,
    /// The request was not run, through no mistake of the caller.
    NotRun,
    /// It is unknown whether the request was run.
    Unknown,
}

impl From<&RequestOutcome> for OutcomeClass {
    fn from(outcome: &RequestOutcome) -> Self {
        match outcome {
            RequestOutcome::Answered => Self::Answered,
            RequestOutcome::Unknown(_) => Self::Unknown,
            RequestOutcome::NotRun(_) => match outcome.send_again() {
                SendAgain::AfterChange => Self::CallerError,
                _ => Self::NotRun,
            },
        }
    }
}

/// One finished request.
#[derive(Debug, Clone, Copy)]
pub struct RequestRecord<'a> {
    /// Pool that served it.
    pub pool: &'a str,
    /// Customer that sent it.
    pub customer: &'a str,
    /// How its outcome counts.
    pub class: OutcomeClass,
    /// Whether it was an at-most-once request.
    pub at_most_once: bool,
    /// Times of its answer.
    pub stream: StreamCounts,
}

impl RequestRecord<'_> {
    pub(crate) fn counts(&self) -> ObjectiveCounts {
        let mut counts = ObjectiveCounts::default();
        if self.class == OutcomeClass::CallerError {
            return counts;
        }
        if let Some(is_late) = self.stream.first_token_late {
            counts.first_token.add(is_late);
        }
        counts.token_gap.total = self.stream.gaps;
        counts.token_gap.bad = self.stream.late_gaps;
        counts.answered.add(self.class != OutcomeClass::Answered);
        if self.at_most_once {
            counts.known.add(self.class == OutcomeClass::Unknown);
        }
        counts
    }
}
