//! Outcomes of calls, as the caller saw them.

use briarrail_outcome::{NOT_RUN_HEADER, OUTCOME_HEADER};
use http::HeaderMap;
use serde::{Deserialize, Serialize};

/// What a caller saw of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The whole, right answer came.
    Answered,
    /// The call was refused with the proof that it was not run.
    NotRun,
    /// The caller was told that nobody knows whether the call was run.
    Unknown,
    /// The answer broke off visibly: a broken connection or an error event.
    Cut,
    /// The answer ended cleanly, and was not whole or not the right one.
    Wrong,
    /// No connection could be made.
    Unreachable,
}

impl CallOutcome {
    /// Returns the outcome of a call that got a status other than success.
    ///
    /// A router names the outcome; an engine itself only proves that it did not run the call.
    #[must_use]
    pub fn from_error_response(headers: &HeaderMap) -> Self {
        let is_proved = headers
            .get(NOT_RUN_HEADER)
            .is_some_and(|proof| proof == "true");
        let outcome = headers.get(OUTCOME_HEADER);
        match outcome.and_then(|outcome| outcome.to_str().ok()) {
            Some("not_run") => Self::NotRun,
            Some("answered") => Self::Wrong,
            None if is_proved => Self::NotRun,
            _ => Self::Unknown,
        }
    }
}
