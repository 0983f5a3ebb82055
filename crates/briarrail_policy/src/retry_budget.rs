//! Budgets for retries.

use briarrail_model::CallSemantics;

const UNITS_PER_CALL: u32 = 100;

/// Limits retries to a part of the calls, so that they never multiply an overload.
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
    units: u32,
    max_units: u32,
}

impl RetryBudget {
    /// Makes a budget of `percent` retries for each 100 calls, with at most `burst` saved up.
    #[must_use]
    pub const fn new(percent: u32, burst: u32) -> Self {
        let max_units = burst.saturating_mul(UNITS_PER_CALL);
        Self {
            percent,
            units: max_units,
            max_units,
        }
    }

    /// Counts a first attempt.
    pub fn record_call(&mut self) {
        self.units = self.units.saturating_add(self.percent).min(self.max_units);
    }

    /// Takes a retry or a hedge out of the budget; false when there is none left.
    ///
    /// Calls that run at most once are never hedged nor retried.
    #[must_use]
    pub fn try_retry(&mut self, semantics: CallSemantics) -> bool {
        let allowed = semantics == CallSemantics::Idempotent && self.units >= UNITS_PER_CALL;
        if allowed {
            self.units -= UNITS_PER_CALL;
        }
        allowed
    }
}
