//! Record of a finished request.

use briarrail_outcome::{RequestOutcome, RetryAdvice};

use crate::{ObjectiveCounts, StreamCounts};

/// Class of an outcome with regard to the objectives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeClass {
    /// The request was answered.
    Answered,
    /// The caller must change the request; it does not count towards any objective.
    CallerError,
    /// The request was not executed, for a reason other than a caller error.
    NotRun,
    /// It is unknown whether the request was executed.
    Unknown,
}

impl From<&RequestOutcome> for OutcomeClass {
    fn from(outcome: &RequestOutcome) -> Self {
        match outcome {
            RequestOutcome::Answered => Self::Answered,
            RequestOutcome::Unknown(_) => Self::Unknown,
            RequestOutcome::NotRun(_) => match outcome.retry_advice() {
                RetryAdvice::AfterChange => Self::CallerError,
                _ => Self::NotRun,
            },
        }
    }
}

/// A finished request.
#[derive(Debug, Clone, Copy)]
pub struct RequestRecord<'a> {
    /// Pool of the request.
    pub pool: &'a str,
    /// Customer that sent the request.
    pub customer: &'a str,
    /// Class of the outcome.
    pub class: OutcomeClass,
    /// Whether it was an at-most-once request.
    pub at_most_once: bool,
    /// Token timing of the answer.
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
