//! Budgets for retries.

use briarrail_model::CallSemantics;

/// Cost of one retry; each call adds the budget's percentage in tokens.
const TOKENS_PER_RETRY: u32 = 100;

/// Limits retries to a percentage of the calls, so that retries do not amplify an overload.
///
/// The budget is a token bucket.
///
/// ```
/// use briarrail_model::CallSemantics;
/// use briarrail_policy::RetryBudget;
///
/// let mut budget = RetryBudget::new(10, 1);
/// assert!(budget.try_retry(CallSemantics::Idempotent));
/// assert!(!budget.try_retry(CallSemantics::Idempotent));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    percent: u32,
    tokens: u32,
    max_tokens: u32,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries per 100 calls, with at most `burst` accumulated.
    #[must_use]
    pub const fn new(percent: u32, burst: u32) -> Self {
        let max_tokens = burst.saturating_mul(TOKENS_PER_RETRY);
        Self {
            percent,
            tokens: max_tokens,
            max_tokens,
        }
    }

    /// Counts a first attempt.
    pub fn record_call(&mut self) {
        self.tokens = self
            .tokens
            .saturating_add(self.percent)
            .min(self.max_tokens);
    }

    /// Takes a retry or a hedged request from the budget; returns `false` if the budget is used up.
    ///
    /// At-most-once calls are never hedged or retried.
    #[must_use]
    pub fn try_retry(&mut self, semantics: CallSemantics) -> bool {
        let allowed = semantics == CallSemantics::Idempotent && self.tokens >= TOKENS_PER_RETRY;
        if allowed {
            self.tokens -= TOKENS_PER_RETRY;
        }
        allowed
    }
}
