//! Limits on the attempts of one request.

use briarrail_model::{CallSemantics, MilliTime};

/// Limits on the attempts of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Whether the call may run more than once.
    pub semantics: CallSemantics,
    /// Maximum number of attempts, including resumptions.
    pub max_attempts: u32,
    /// Time at which the request ends.
    pub deadline: MilliTime,
    /// Maximum number of retries after a target that provably did not run the request; they don't
    /// count as attempts.
    pub max_uncounted_retries: u32,
    /// Maximum number of retries after a target that could not be reached, before those count as
    /// retries after a target that did not run the request.
    pub max_connect_retries: u32,
}

impl RetryPolicy {
    /// Creates a policy with one attempt.
    #[must_use]
    pub const fn new(semantics: CallSemantics, deadline: MilliTime) -> Self {
        Self {
            semantics,
            max_attempts: 1,
            deadline,
            max_uncounted_retries: 0,
            max_connect_retries: 0,
        }
    }

    /// Sets the maximum number of attempts; 0 is raised to 1.
    #[must_use]
    pub const fn with_max_attempts(mut self, attempts: u32) -> Self {
        self.max_attempts = if attempts == 0 { 1 } else { attempts };
        self
    }

    /// Sets the maximum number of retries after a target that provably did not run the request.
    ///
    /// If it is above 0, an at-most-once call is also retried after a refusal of a target that
    /// states that it did not run the call.
    #[must_use]
    pub const fn with_uncounted_retries(mut self, retries: u32) -> Self {
        self.max_uncounted_retries = retries;
        self
    }

    /// Sets the maximum number of retries after a target that could not be reached. If many targets
    /// are lost at once, a request meets several of them before the list of targets tells.
    #[must_use]
    pub const fn with_connect_retries(mut self, retries: u32) -> Self {
        self.max_connect_retries = retries;
        self
    }
}
