//! Ejection of failing targets.
//!
//! Load pattern: a target fails a part of its requests, hangs, or is gone, while its entry in the
//! store still says that it is ready. Requests that meet it are lost or late until it stops
//! getting work; too eager ejection under a common cause would empty the service.

use briarrail_model::{MilliDuration, MilliTime};

/// How a send to a target ended, as far as it speaks for or against the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// A whole answer came, or a stream made progress.
    Good,
    /// The target could not be reached.
    Unreachable,
    /// The connection broke, the answer was spoilt, or none came in time.
    Broken,
    /// The target was given up for another before it answered; it may only be slow.
    Slow,
    /// The target answered with a failure of its own.
    Failed,
    /// The target refused because it is full.
    Refused,
}

/// Length of the first ejection; covers a process restart.
const FIRST_EJECTION: MilliDuration = MilliDuration::from_millis(1_000);
/// Longest ejection; bounds the time that a recovered target stays without work.
const MAX_EJECTION: MilliDuration = MilliDuration::from_millis(4_000);
/// Time without an ejection after which the next one is short again.
const EJECTION_RESET_TIME: MilliDuration = MilliDuration::from_millis(5_000);
/// Time after a good trial in which older failures don't eject.
const RECOVERY_GRACE: MilliDuration = MilliDuration::from_millis(1_500);
/// Weight of the newest outcome in the failure ratio.
const FAILURE_RATIO_GAIN: f32 = 0.3;
/// Failure ratio that ejects; plain services fail up to a seventh of their calls in good health.
const EJECTION_THRESHOLD: f32 = 0.5;
/// Weight of a target's own failures, so that four in a row eject, and not two.
const FAILURE_WEIGHT: f32 = 0.7;
/// Refusals weigh less than failures: a full target is healthy.
const REFUSAL_WEIGHT: f32 = 0.4;

/// Time for which a target that failed requests, but answered, counts as able to hand out what it
/// keeps; the longest ejection, after which a trial tells anew.
const RESPONSE_MEMORY: MilliDuration = MAX_EJECTION;

/// Judges one target by the outcomes of this router's sends.
#[derive(Debug, Clone, Copy, Default)]
pub struct OutlierDetector {
    /// Moving average of failures, 0 to 1.
    failure_ratio: f32,
    ejected_until: Option<MilliTime>,
    /// Whether the last ejection was for a target that could not be reached.
    is_unreachable: bool,
    /// Ejections since the last recovery.
    ejections: u32,
    /// When the trial after an ejection began.
    trial_started_at: Option<MilliTime>,
    /// When it last answered, unless a send got no whole answer since.
    responded_at: Option<MilliTime>,
    /// When a trial last went well.
    recovered_at: Option<MilliTime>,
}

impl OutlierDetector {
    /// Takes an outcome; returns whether it ejected the target.
    pub fn record_outcome(&mut self, outcome: SendOutcome, now: MilliTime) -> bool {
        let weight = match outcome {
            SendOutcome::Good => 0.0,
            SendOutcome::Refused => REFUSAL_WEIGHT,
            SendOutcome::Failed | SendOutcome::Slow => FAILURE_WEIGHT,
            SendOutcome::Unreachable | SendOutcome::Broken => 1.0,
        };
        self.responded_at = match outcome {
            SendOutcome::Good | SendOutcome::Failed | SendOutcome::Refused => Some(now),
            SendOutcome::Unreachable | SendOutcome::Broken | SendOutcome::Slow => None,
        };
        self.failure_ratio += FAILURE_RATIO_GAIN * (weight - self.failure_ratio);
        let was_trial = self.trial_started_at.take().is_some();
        if outcome == SendOutcome::Good {
            if was_trial {
                self.failure_ratio = 0.0;
                self.recovered_at = Some(now);
                self.ejected_until = None;
            }
            let is_stable = |at: MilliTime| now.since(at) >= EJECTION_RESET_TIME;
            if self.recovered_at.is_some_and(is_stable) {
                self.ejections = 0;
            }
            return false;
        }
        let is_unreachable = outcome == SendOutcome::Unreachable;
        let is_failed_trial = was_trial && outcome != SendOutcome::Refused;
        let is_already_ejected = self.ejected_until.is_some_and(|until| until > now);
        if is_already_ejected
            || !(is_unreachable || is_failed_trial || self.failure_ratio > EJECTION_THRESHOLD)
        {
            return false;
        }
        self.is_unreachable = is_unreachable;
        self.eject(now);
        true
    }

    /// Ejects the target on what all routers know; returns whether it did.
    ///
    /// Right after a trial went well, what they know is from before.
    pub fn eject_as_outlier(&mut self, now: MilliTime) -> bool {
        let is_recent = |at: MilliTime| now.since(at) < RECOVERY_GRACE;
        if self.ejected_until.is_some() || self.recovered_at.is_some_and(is_recent) {
            return false;
        }
        self.is_unreachable = false;
        self.eject(now);
        true
    }

    /// Returns whether the target is ejected because it could not be reached.
    #[must_use]
    pub fn is_unreachable(&self, now: MilliTime) -> bool {
        self.is_unreachable && !self.allows_requests(now)
    }

    /// Returns whether the target answered lately, be it with failures.
    #[must_use]
    pub fn responded_recently(&self, now: MilliTime) -> bool {
        let is_recent = |at: MilliTime| now.since(at) < RESPONSE_MEMORY;
        self.responded_at.is_some_and(is_recent)
    }

    /// Returns whether the target may get a request now; an ejected one gets a single trial after
    /// its time.
    #[must_use]
    pub fn allows_requests(&self, now: MilliTime) -> bool {
        match self.ejected_until {
            None => true,
            Some(until) => until <= now && !self.is_trial_pending(now),
        }
    }

    /// Notes that a request was placed; after an ejection it is the trial.
    pub fn record_send(&mut self, now: MilliTime) {
        if self.ejected_until.is_some_and(|until| until <= now) {
            self.trial_started_at = Some(now);
        }
    }

    /// Returns when the current ejection ends, if there is one.
    #[must_use]
    pub const fn ejected_until(&self) -> Option<MilliTime> {
        self.ejected_until
    }

    /// Returns the moving average of failures, 0 to 1.
    #[must_use]
    pub const fn failure_ratio(&self) -> f32 {
        self.failure_ratio
    }

    fn is_trial_pending(&self, now: MilliTime) -> bool {
        let is_recent = |since: MilliTime| now.since(since) < FIRST_EJECTION;
        self.trial_started_at.is_some_and(is_recent)
    }

    fn eject(&mut self, now: MilliTime) {
        let length_ms = FIRST_EJECTION.as_millis() << self.ejections.min(4);
        let length = MilliDuration::from_millis(length_ms.min(MAX_EJECTION.as_millis()));
        self.ejected_until = Some(now + length);
        self.recovered_at = None;
        self.ejections += 1;
    }
}
