//! Outcomes of calls, as observed by the caller.

use briarrail_outcome::{NOT_RUN_HEADER, OUTCOME_HEADER};
use http::HeaderMap;
use serde::{Deserialize, Serialize};

/// Outcome of one call, as observed by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The complete, expected answer was received.
    Answered,
    /// The call was refused, and the response confirms that it was not run.
    NotRun,
    /// The call failed, and it is unknown whether it was run.
    Unknown,
    /// The answer was truncated detectably, by a connection error or an error event.
    Cut,
    /// The answer ended without a connection error, but was incomplete or not the expected one.
    Wrong,
    /// No connection could be established.
    Unreachable,
}

impl CallOutcome {
    /// Returns the outcome of a call that was answered with an error status.
    ///
    /// A router sends the outcome in a header. An engine only sends a header if it did not run the
    /// call.
    #[must_use]
    pub fn from_error_response(headers: &HeaderMap) -> Self {
        let is_confirmed_not_run = headers
            .get(NOT_RUN_HEADER)
            .is_some_and(|value| value == "true");
        let outcome = headers.get(OUTCOME_HEADER);
        match outcome.and_then(|outcome| outcome.to_str().ok()) {
            Some("not_run") => Self::NotRun,
            Some("answered") => Self::Wrong,
            None if is_confirmed_not_run => Self::NotRun,
            _ => Self::Unknown,
        }
    }
}
