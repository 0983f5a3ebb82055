//! Detects failing targets from the request outcomes of all routers.
//!
//! When a target fails two of five requests while its health check passes, each of nine routers
//! sees only about one request per second to that target. A single router needs many seconds to
//! tell such a target from random failures; the combined outcomes of all routers show it within one
//! second.

use std::ops::Add;

use briarrail_model::{MilliDuration, MilliTime};

use crate::SendOutcome;
use crate::sliding_window::SlidingWindow;

/// Length of the sliding window; covers about ten requests per target at a small site.
pub(crate) const OUTCOME_WINDOW: MilliDuration = MilliDuration::from_millis(2_000);
/// Units per outcome; a slow response counts half, since it may be an isolated delay.
const REQUEST_UNITS: u32 = 2;
const SLOW_UNITS: u32 = 1;
/// Minimum failures for an ejection, so that two isolated failures do not eject a target.
const MIN_FAILED_UNITS: u32 = 3 * REQUEST_UNITS;
/// Minimum failure ratio for an ejection.
const MIN_FAILURE_RATIO: f32 = 0.25;
/// Multiple of the other targets' failure ratio above which a target is an outlier.
const OUTLIER_RATIO_FACTOR: f32 = 2.0;
/// Margin added to that multiple.
const OUTLIER_RATIO_MARGIN: f32 = 0.1;

/// Sums of request outcomes, in units of half a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutcomeTotals {
    /// Units of successful outcomes.
    pub good: u32,
    /// Units of failed outcomes.
    pub failed: u32,
}

impl Add for OutcomeTotals {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        self.plus(other)
    }
}

impl OutcomeTotals {
    /// Returns the number of requests with an outcome.
    #[must_use]
    pub fn requests(&self) -> f32 {
        (self.good + self.failed) as f32 / REQUEST_UNITS as f32
    }

    /// Returns the number of requests that were answered.
    #[must_use]
    pub fn answered(&self) -> f32 {
        self.good as f32 / REQUEST_UNITS as f32
    }

    /// Returns the failure ratio, from 0 to 1.
    #[must_use]
    pub fn failure_ratio(&self) -> f32 {
        let total = self.good + self.failed;
        if total == 0 {
            0.0
        } else {
            self.failed as f32 / total as f32
        }
    }

    /// Returns the sum of both totals.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            good: self.good + other.good,
            failed: self.failed + other.failed,
        }
    }

    /// Returns whether the failure ratio is an outlier among the service's targets, given the
    /// totals of the others.
    #[must_use]
    pub fn is_outlier(&self, others: Self) -> bool {
        let limit = OUTLIER_RATIO_FACTOR.mul_add(others.failure_ratio(), OUTLIER_RATIO_MARGIN);
        self.failed >= MIN_FAILED_UNITS && self.failure_ratio() > limit.max(MIN_FAILURE_RATIO)
    }
}

/// Outcomes of this router's requests to one target over a sliding window.
#[derive(Debug, Clone)]
pub struct OutcomeWindow {
    totals: SlidingWindow<OutcomeTotals>,
}

impl Default for OutcomeWindow {
    fn default() -> Self {
        Self {
            totals: SlidingWindow::new(OUTCOME_WINDOW),
        }
    }
}

impl OutcomeWindow {
    /// Adds an outcome to the window.
    pub fn record_outcome(&mut self, outcome: SendOutcome, now: MilliTime) {
        let totals = match outcome {
            SendOutcome::Good => OutcomeTotals {
                good: REQUEST_UNITS,
                failed: 0,
            },
            SendOutcome::Slow => OutcomeTotals {
                good: 0,
                failed: SLOW_UNITS,
            },
            SendOutcome::Refused => return,
            SendOutcome::Unreachable | SendOutcome::Broken | SendOutcome::Failed => OutcomeTotals {
                good: 0,
                failed: REQUEST_UNITS,
            },
        };
        self.totals.add(totals, now);
    }

    /// Returns the totals over the window.
    pub fn sum(&mut self, now: MilliTime) -> OutcomeTotals {
        self.totals.sum(now)
    }

    /// Discards all outcomes, for example those that precede a successful trial.
    pub fn clear(&mut self) {
        self.totals.clear();
    }
}
