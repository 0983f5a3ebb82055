//! Limits of the attempts for one request.

use briarrail_model::{CallSemantics, MilliTime};

/// Limits of the attempts for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Whether the call may run more than once.
    pub semantics: CallSemantics,
    /// Most attempts, resumptions included.
    pub max_attempts: u32,
    /// Time at which the request ends.
    pub deadline: MilliTime,
    /// Most moves to another target after one provably did not run the request; they don't count
    /// as attempts.
    pub uncounted_retries: u32,
}

impl RetryPolicy {
    /// Makes a plan with one attempt.
    #[must_use]
    pub const fn new(semantics: CallSemantics, deadline: MilliTime) -> Self {
        Self {
            semantics,
            max_attempts: 1,
            deadline,
            uncounted_retries: 0,
        }
    }

    /// Sets the most attempts, at least 1.
    #[must_use]
    pub const fn with_max_attempts(mut self, attempts: u32) -> Self {
        self.max_attempts = if attempts == 0 { 1 } else { attempts };
        self
    }

    /// Sets the most moves after a target provably did not run the request.
    ///
    /// With any, an at-most-once call moves on after a proved refusal too.
    #[must_use]
    pub const fn with_uncounted_retries(mut self, moves: u32) -> Self {
        self.uncounted_retries = moves;
        self
    }
}
