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
const BUCKET: MilliDuration = MilliDuration::from_millis(250);
/// Units of one outcome; a slow one counts half, since it may only be unlucky.
const WHOLE_UNITS: u32 = 2;
const HALF_UNITS: u32 = 1;
/// Failures from which a target is judged, so that two unlucky ones don't eject.
const MIN_FAILED_UNITS: u32 = 3 * WHOLE_UNITS;
/// Least part of failures that ejects.
const MIN_RATIO: f32 = 0.25;
/// Multiple of the other targets' part of failures that ejects.
const OUTLIER_FACTOR: f32 = 2.0;
/// Part added to that multiple.
const OUTLIER_MARGIN: f32 = 0.1;

/// Outcomes of a while, in units of half a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutcomeUnits {
    /// Units of good outcomes.
    pub good: u32,
    /// Units of failures.
    pub failed: u32,
}

impl OutcomeUnits {
    /// Returns the part of failures, 0 to 1.
    #[must_use]
    pub fn failed_part(&self) -> f32 {
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
    pub fn stands_out(&self, others: Self) -> bool {
        let limit = OUTLIER_FACTOR.mul_add(others.failed_part(), OUTLIER_MARGIN);
        self.failed >= MIN_FAILED_UNITS && self.failed_part() > limit.max(MIN_RATIO)
    }
}

/// This router's outcomes at one target over a sliding window.
#[derive(Debug, Clone, Default)]
pub struct OutcomeWindow {
    buckets: VecDeque<(MilliTime, OutcomeUnits)>,
}

impl OutcomeWindow {
    /// Takes an outcome.
    pub fn record(&mut self, outcome: SendOutcome, now: MilliTime) {
        let units = match outcome {
            SendOutcome::Good => OutcomeUnits {
                good: WHOLE_UNITS,
                failed: 0,
            },
            SendOutcome::Slow => OutcomeUnits {
                good: 0,
                failed: HALF_UNITS,
            },
            SendOutcome::Refused => return,
            SendOutcome::Unreachable | SendOutcome::Broken | SendOutcome::Failed => OutcomeUnits {
                good: 0,
                failed: WHOLE_UNITS,
            },
        };
        let is_current =
            |&&mut (start, _): &&mut (MilliTime, OutcomeUnits)| now.since(start) < BUCKET;
        match self.buckets.back_mut().filter(is_current) {
            Some((_, known)) => *known = known.plus(units),
            None => self.buckets.push_back((now, units)),
        }
        self.forget_old(now);
    }

    /// Returns the outcomes of the window.
    pub fn sum(&mut self, now: MilliTime) -> OutcomeUnits {
        self.forget_old(now);
        let units = self.buckets.iter().map(|(_, units)| *units);
        units.fold(OutcomeUnits::default(), OutcomeUnits::plus)
    }

    /// Forgets all outcomes, such as those before a trial that went well.
    pub fn clear(&mut self) {
        self.buckets.clear();
    }

    fn forget_old(&mut self, now: MilliTime) {
        while let Some(&(start, _)) = self.buckets.front() {
            if now.since(start) <= WINDOW {
                return;
            }
            self.buckets.pop_front();
        }
    }
}
