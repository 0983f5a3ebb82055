//! What all routers together know of a target's failures.
//!
//! Load pattern: a target fails two of five requests while its health check is good. With nine
//! routers each sees about one request of it a second, so each alone needs many seconds to tell it
//! from bad luck; together they need one.

use std::collections::VecDeque;

use briarrail_model::{MilliDuration, MilliTime};

use crate::SendOutcome;

/// Time for which outcomes count: long enough for some ten requests a target on a small site.
const WINDOW: MilliDuration = MilliDuration::from_millis(2_000);
/// Width of one count.
const BUCKET_WIDTH: MilliDuration = MilliDuration::from_millis(250);
/// Units of one outcome; a slow one counts half, since it may only be unlucky.
const REQUEST_UNITS: u32 = 2;
const SLOW_UNITS: u32 = 1;
/// Failures from which a target is judged, so that two unlucky ones don't eject.
const MIN_FAILED_UNITS: u32 = 3 * REQUEST_UNITS;
/// Least part of failures that ejects.
const MIN_FAILURE_RATIO: f32 = 0.25;
/// Multiple of the other targets' part of failures that ejects.
const OUTLIER_RATIO_FACTOR: f32 = 2.0;
/// Part added to that multiple.
const OUTLIER_RATIO_MARGIN: f32 = 0.1;

/// Outcomes of a while, in units of half a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutcomeTotals {
    /// Units of good outcomes.
    pub good: u32,
    /// Units of failures.
    pub failed: u32,
}

impl OutcomeTotals {
    /// Returns the part of failures, 0 to 1.
    #[must_use]
    pub fn failure_ratio(&self) -> f32 {
        let total = self.good + self.failed;
        if total == 0 {
            0.0
        } else {
            self.failed as f32 / total as f32
        }
    }

    /// Returns the sum with another router's.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            good: self.good + other.good,
            failed: self.failed + other.failed,
        }
    }

    /// Returns whether these outcomes stand out from those of the service's other targets.
    #[must_use]
    pub fn is_outlier(&self, others: Self) -> bool {
        let limit = OUTLIER_RATIO_FACTOR.mul_add(others.failure_ratio(), OUTLIER_RATIO_MARGIN);
        self.failed >= MIN_FAILED_UNITS && self.failure_ratio() > limit.max(MIN_FAILURE_RATIO)
    }
}

/// This router's outcomes at one target over a sliding window.
#[derive(Debug, Clone, Default)]
pub struct OutcomeWindow {
    buckets: VecDeque<(MilliTime, OutcomeTotals)>,
}

impl OutcomeWindow {
    /// Takes an outcome.
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
        let is_current =
            |&&mut (start, _): &&mut (MilliTime, OutcomeTotals)| now.since(start) < BUCKET_WIDTH;
        match self.buckets.back_mut().filter(is_current) {
            Some((_, bucket)) => *bucket = bucket.plus(totals),
            None => self.buckets.push_back((now, totals)),
        }
        self.drop_expired(now);
    }

    /// Returns the outcomes of the window.
    pub fn sum(&mut self, now: MilliTime) -> OutcomeTotals {
        self.drop_expired(now);
        let totals = self.buckets.iter().map(|(_, totals)| *totals);
        totals.fold(OutcomeTotals::default(), OutcomeTotals::plus)
    }

    /// Forgets all outcomes, such as those before a trial that went well.
    pub fn clear(&mut self) {
        self.buckets.clear();
    }

    fn drop_expired(&mut self, now: MilliTime) {
        while let Some(&(start, _)) = self.buckets.front() {
            if now.since(start) <= WINDOW {
                return;
            }
            self.buckets.pop_front();
        }
    }
}
