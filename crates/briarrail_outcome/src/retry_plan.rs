//! Limits of the attempts for one request.

use briarrail_model::{CallSemantics, MilliTime};

/// Limits of the attempts for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPlan {
    /// Whether the call may run more than once.
    pub semantics: CallSemantics,
    /// Most attempts, resumptions included.
    pub max_attempts: u32,
    /// Time at which the request ends.
    pub deadline: MilliTime,
}

impl RetryPlan {
    /// Makes a plan with one attempt.
    #[must_use]
    pub const fn new(semantics: CallSemantics, deadline: MilliTime) -> Self {
        Self {
            semantics,
            max_attempts: 1,
            deadline,
        }
    }

    /// Sets the most attempts, at least 1.
    #[must_use]
    pub const fn with_max_attempts(mut self, attempts: u32) -> Self {
        self.max_attempts = if attempts == 0 { 1 } else { attempts };
        self
    }
}
