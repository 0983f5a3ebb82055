//! Ejection of failing targets.
//!
//! A target may fail part of its requests, hang or be gone while its store entry still marks it as
//! ready. Requests sent to it are lost or late until it stops receiving traffic. Ejection must not
//! be too eager, because failures with a common cause would otherwise eject every target of a
//! service.

use briarrail_model::{MilliDuration, MilliTime};

/// Outcome of a request sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The response completed, or a stream made progress.
    Good,
    /// The connection to the target could not be established.
    Unreachable,
    /// The connection broke, the response was invalid, or no response arrived in time.
    Broken,
    /// The request moved to another target before this one responded; it may only be slow.
    Slow,
    /// The target responded with a failure.
    Failed,
    /// The target rejected the request because it is at capacity.
    Refused,
}

/// Duration of the first ejection; covers a process restart.
const FIRST_EJECTION: MilliDuration = MilliDuration::from_millis(1_000);
/// Maximum duration of an ejection; bounds the idle time of a recovered target.
const MAX_EJECTION: MilliDuration = MilliDuration::from_millis(4_000);
/// Time since recovery after which the ejection backoff resets.
const EJECTION_RESET_TIME: MilliDuration = MilliDuration::from_millis(5_000);
/// Time after a successful trial in which fleet outcomes do not eject, since they precede the
/// trial.
const RECOVERY_GRACE: MilliDuration = MilliDuration::from_millis(1_500);
/// Weight of the newest outcome in the moving failure ratio.
const FAILURE_RATIO_GAIN: f32 = 0.3;
/// Failure ratio above which a target is ejected; a healthy plain service fails up to a seventh of
/// its calls.
const EJECTION_THRESHOLD: f32 = 0.5;
/// Weight of a failure or a slow response; four in a row eject a target, two do not.
const FAILURE_WEIGHT: f32 = 0.7;
/// Weight of a rejection; lower than that of a failure, because a target at capacity is healthy.
const REFUSAL_WEIGHT: f32 = 0.4;

/// Time for which an ejected target that recently responded is assumed to be able to serve cached
/// context; equals the longest ejection, after which a trial decides.
const RESPONSE_MEMORY: MilliDuration = MAX_EJECTION;

/// Decides ejections of one target from the outcomes of this router's requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct OutlierDetector {
    /// Moving average of weighted failures, from 0 to 1.
    failure_ratio: f32,
    ejected_until: Option<MilliTime>,
    /// Whether the last ejection was caused by a failed connection.
    is_unreachable: bool,
    /// Number of ejections since the backoff was last reset.
    ejections: u32,
    /// Start of the pending trial request after an ejection.
    trial_started_at: Option<MilliTime>,
    /// Time of the last response; cleared by a request without a complete response.
    responded_at: Option<MilliTime>,
    /// Time of the last successful trial.
    recovered_at: Option<MilliTime>,
}

impl OutlierDetector {
    /// Records an outcome and returns whether it ejected the target.
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

    /// Ejects the target based on the outcomes of all routers and returns whether it did.
    ///
    /// Has no effect while the target is ejected, or shortly after a successful trial, since those
    /// outcomes precede the trial.
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

    /// Returns whether the target responded recently, even with a failure.
    #[must_use]
    pub fn responded_recently(&self, now: MilliTime) -> bool {
        let is_recent = |at: MilliTime| now.since(at) < RESPONSE_MEMORY;
        self.responded_at.is_some_and(is_recent)
    }

    /// Returns whether the target may receive a request now. After an ejection expires, only one
    /// trial request is allowed at a time.
    #[must_use]
    pub fn allows_requests(&self, now: MilliTime) -> bool {
        match self.ejected_until {
            None => true,
            Some(until) => until <= now && !self.is_trial_pending(now),
        }
    }

    /// Records that a request was sent; once an ejection has expired, it is the trial.
    pub fn record_send(&mut self, now: MilliTime) {
        if self.ejected_until.is_some_and(|until| until <= now) {
            self.trial_started_at = Some(now);
        }
    }

    /// Returns the end of the current ejection, if any.
    #[must_use]
    pub const fn ejected_until(&self) -> Option<MilliTime> {
        self.ejected_until
    }

    /// Returns the moving average of weighted failures, from 0 to 1.
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
