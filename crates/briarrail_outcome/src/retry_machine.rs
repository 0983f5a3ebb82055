//! State machine for the attempts of one request.

use briarrail_model::{CallSemantics, MilliTime};

use crate::{
    AttemptEvent, NoRetryLimit, NotRunReason, RequestOutcome, RetryLimiter, RetryPolicy, RetryStep,
    UnknownReason,
};

/// Decides the attempts of one request, and its outcome.
///
/// An at-most-once call is retried only while no byte of it was sent, or after a refusal by a
/// target that states that it did not run the call, if
/// [`with_uncounted_retries`](RetryPolicy::with_uncounted_retries) allows that. An idempotent call
/// is retried at another target until its response has started towards the caller; after that the
/// response can only be resumed, first at the same target, then at another one. A response counts
/// as started with [`AttemptEvent::HeadReceived`]. A router that buffers a small response until it
/// is complete reports its loss as [`AttemptEvent::SendFailed`], so that the call can be retried.
///
/// After [`AttemptEvent::TargetSilent`] the request is attempted at another target while the silent
/// one is kept. If no further attempt is possible, the step is [`RetryStep::KeepTarget`], and the
/// request ends with the silent target, unless that was left with
/// [`leave_silent_target`](Self::leave_silent_target).
///
/// ```
/// use briarrail_model::{CallSemantics, MilliTime};
/// use briarrail_outcome::{AttemptEvent, NoRetryLimit, RetryMachine, RetryPolicy, RetryStep};
///
/// let deadline = MilliTime::from_millis(1_000);
/// let policy = RetryPolicy::new(CallSemantics::Idempotent, deadline).with_max_attempts(3);
/// let mut machine = RetryMachine::new(policy);
/// let now = MilliTime::from_millis(0);
/// assert_eq!(machine.start(now), RetryStep::Send { attempt: 1 });
/// let step = machine.handle(AttemptEvent::SendFailed, now, &mut NoRetryLimit);
/// assert_eq!(step, RetryStep::Send { attempt: 2 });
/// ```
#[derive(Debug, Clone)]
pub struct RetryMachine {
    policy: RetryPolicy,
    attempt: u32,
    /// Retries after targets that provably did not run the request.
    uncounted_retries: u32,
    /// Retries after targets that could not be reached, which are bounded on their own.
    connect_retries: u32,
    /// Whether an attempt is in progress, so that part of the request may have been sent.
    in_flight: bool,
    /// Whether a target may have run the request, with no proof that it did not.
    may_have_run: bool,
    /// Whether the response has started towards the caller.
    response_started: bool,
    /// Whether a silent target is kept beside the current attempt.
    has_silent_target: bool,
    /// Whether a target whose attempt was withdrawn may be asked again.
    has_withdrawn: bool,
    /// Whether a silent target that was left may be asked again after a failure.
    may_return: bool,
    /// Whether the current attempt may only go to such a target.
    is_return: bool,
    /// Offset of the last resumption.
    resume_offset: Option<u64>,
    /// Reason to report if the request ends without having run.
    not_run_reason: NotRunReason,
    outcome: Option<RequestOutcome>,
}

impl RetryMachine {
    /// Creates the state machine of a new request.
    #[must_use]
    pub const fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            attempt: 0,
            uncounted_retries: 0,
            connect_retries: 0,
            in_flight: false,
            may_have_run: false,
            response_started: false,
            has_silent_target: false,
            has_withdrawn: false,
            may_return: false,
            is_return: false,
            resume_offset: None,
            not_run_reason: NotRunReason::NoTarget,
            outcome: None,
        }
    }

    /// Returns the first step.
    pub fn start(&mut self, now: MilliTime) -> RetryStep {
        if now >= self.policy.deadline {
            return self.handle_deadline(now);
        }
        self.attempt = 1;
        self.in_flight = true;
        RetryStep::Send { attempt: 1 }
    }

    /// Returns the outcome, once there is one.
    #[must_use]
    pub const fn outcome(&self) -> Option<RequestOutcome> {
        self.outcome
    }

    /// Returns whether [`AttemptEvent::TargetSilent`] would lead to an attempt at another target, if
    /// the limiter allows it.
    #[must_use]
    pub fn may_leave_target(&self, resume_at: Option<u64>, now: MilliTime) -> bool {
        self.outcome.is_none()
            && self.policy.semantics == CallSemantics::Idempotent
            && (!self.response_started || resume_at.is_some())
            && now < self.policy.deadline
            && (!self.must_return_next() || self.has_withdrawn)
    }

    /// Records that the silent target was given up, so that the request depends on the current
    /// attempt alone.
    pub const fn leave_silent_target(&mut self) {
        self.has_silent_target = false;
    }

    /// Records that the silent target went on before the attempt beside it was sent, if there was one.
    pub const fn keep_silent_target(&mut self) {
        self.release_unused_attempt();
        self.has_silent_target = false;
        self.in_flight = true;
    }

    /// Records that the attempt beside the silent target was cancelled, and that its target may be
    /// asked again. Such an attempt is not bounded by the number of attempts, because no further target
    /// runs the request.
    pub const fn withdraw_attempt(&mut self) {
        self.has_silent_target = false;
        self.in_flight = true;
        self.has_withdrawn = true;
    }

    /// Records that the silent target that was left may be asked again if the current attempt fails;
    /// such an attempt is not bounded by the number of attempts either.
    pub const fn allow_return(&mut self) {
        self.may_return = true;
    }

    /// Returns whether the current attempt may only go to a target that had the request before.
    #[must_use]
    pub const fn is_return(&self) -> bool {
        self.is_return
    }

    /// Returns whether the next attempt may only go to a target that had the request before.
    #[must_use]
    pub const fn must_return_next(&self) -> bool {
        self.attempt >= self.policy.max_attempts
    }

    /// Handles an event of the current attempt and returns the next step.
    ///
    /// Once the outcome is decided, each further event returns it again.
    pub fn handle<L>(&mut self, event: AttemptEvent, now: MilliTime, limiter: &mut L) -> RetryStep
    where
        L: RetryLimiter,
    {
        if let Some(outcome) = self.outcome {
            return RetryStep::Finish(outcome);
        }
        let was_in_flight = std::mem::take(&mut self.in_flight);
        match event {
            AttemptEvent::Completed => self.finish(RequestOutcome::Answered),
            AttemptEvent::DeadlinePassed => {
                self.may_have_run |= was_in_flight;
                self.handle_deadline(now)
            }
            AttemptEvent::TargetSilent { resume_at } => {
                self.handle_silence(resume_at, now, limiter)
            }
            AttemptEvent::HeadReceived => {
                self.has_silent_target = false;
                self.may_have_run = true;
                self.response_started = true;
                RetryStep::Relay
            }
            AttemptEvent::NoTarget => {
                self.release_unused_attempt();
                self.fail(UnknownReason::ConnectionLost)
            }
            AttemptEvent::ConnectFailed => self.handle_connect_failure(now, limiter),
            AttemptEvent::Refused { not_run: true } => self.handle_refusal(now, limiter),
            AttemptEvent::Refused { not_run: false } => {
                self.handle_possible_run(UnknownReason::TargetFailed, now, limiter)
            }
            AttemptEvent::SendFailed => {
                self.handle_possible_run(UnknownReason::ConnectionLost, now, limiter)
            }
            AttemptEvent::BadAnswer => {
                self.handle_possible_run(UnknownReason::BadAnswer, now, limiter)
            }
            AttemptEvent::BodyBroken { resume_at } => {
                self.handle_interrupted_body(resume_at, now, limiter)
            }
        }
    }

    fn handle_connect_failure<L>(&mut self, now: MilliTime, limiter: &mut L) -> RetryStep
    where
        L: RetryLimiter,
    {
        self.not_run_reason = NotRunReason::Unreachable;
        if self.connect_retries < self.policy.max_connect_retries && self.may_send_again(now) {
            self.connect_retries += 1;
            self.in_flight = true;
            return self.next_send();
        }
        if let Some(step) = self.retry_uncounted(now, &mut NoRetryLimit) {
            return step;
        }
        if self.release_unused_attempt() {
            return self.fail(UnknownReason::ConnectionLost);
        }
        self.retry_or_fail(UnknownReason::ConnectionLost, now, limiter)
    }

    fn handle_refusal<L>(&mut self, now: MilliTime, limiter: &mut L) -> RetryStep
    where
        L: RetryLimiter,
    {
        self.not_run_reason = NotRunReason::TargetRefused;
        if let Some(step) = self.retry_uncounted(now, limiter) {
            return step;
        }
        if self.policy.semantics == CallSemantics::AtMostOnce {
            return self.fail(UnknownReason::TargetFailed);
        }
        if self.release_unused_attempt() {
            return self.fail(UnknownReason::TargetFailed);
        }
        self.retry_or_fail(UnknownReason::TargetFailed, now, limiter)
    }

    /// Handles the loss of an attempt that may have run the request.
    fn handle_possible_run<L>(
        &mut self,
        reason: UnknownReason,
        now: MilliTime,
        limiter: &mut L,
    ) -> RetryStep
    where
        L: RetryLimiter,
    {
        self.may_have_run = true;
        if self.policy.semantics == CallSemantics::AtMostOnce {
            return self.fail(reason);
        }
        self.retry_or_fail(reason, now, limiter)
    }

    fn handle_interrupted_body<L>(
        &mut self,
        resume_at: Option<u64>,
        now: MilliTime,
        limiter: &mut L,
    ) -> RetryStep
    where
        L: RetryLimiter,
    {
        let reason = UnknownReason::ConnectionLost;
        let is_at_most_once = self.policy.semantics == CallSemantics::AtMostOnce;
        let Some(offset) = resume_at.filter(|_| !is_at_most_once) else {
            return self.fail(reason);
        };
        // A second interruption without progress means that this target can't continue.
        let same_target = self.resume_offset != Some(offset);
        if !self.try_start_attempt(now, limiter) {
            return self.fail(reason);
        }
        self.resume_offset = Some(offset);
        RetryStep::Resume {
            attempt: self.attempt,
            offset,
            same_target,
        }
    }

    fn handle_silence<L>(
        &mut self,
        resume_at: Option<u64>,
        now: MilliTime,
        limiter: &mut L,
    ) -> RetryStep
    where
        L: RetryLimiter,
    {
        if !self.may_leave_target(resume_at, now) || !self.try_start_attempt(now, limiter) {
            self.in_flight = true;
            return RetryStep::KeepTarget;
        }
        self.may_have_run = true;
        self.has_silent_target = true;
        if self.response_started {
            self.resume_offset = resume_at;
        }
        self.next_send()
    }

    /// Releases an attempt beside a silent target that provably did not run the request, so that it
    /// is left for a later one; returns whether there was one.
    const fn release_unused_attempt(&mut self) -> bool {
        if self.has_silent_target && !self.is_return {
            self.attempt -= 1;
        }
        self.has_silent_target
    }

    /// Returns whether the request can be sent to another target as far as its deadline and its
    /// response are concerned.
    fn may_send_again(&self, now: MilliTime) -> bool {
        now < self.policy.deadline && (!self.response_started || self.resume_offset.is_some())
    }

    /// Retries at another target without counting an attempt, while the policy allows it.
    fn retry_uncounted<L>(&mut self, now: MilliTime, limiter: &mut L) -> Option<RetryStep>
    where
        L: RetryLimiter,
    {
        let allowed =
            self.may_send_again(now) && self.uncounted_retries < self.policy.max_uncounted_retries;
        if !allowed || !limiter.try_acquire() {
            return None;
        }
        self.uncounted_retries += 1;
        self.in_flight = true;
        Some(self.next_send())
    }

    /// Retries at another target, or resumes there after an earlier resumption; ends the request
    /// if neither is possible.
    fn retry_or_fail<L>(
        &mut self,
        reason: UnknownReason,
        now: MilliTime,
        limiter: &mut L,
    ) -> RetryStep
    where
        L: RetryLimiter,
    {
        if self.response_started && self.resume_offset.is_none() {
            return self.fail(reason);
        }
        if !self.try_start_attempt(now, limiter) {
            return self.fail(reason);
        }
        self.next_send()
    }

    /// Returns the step that goes to another target.
    const fn next_send(&self) -> RetryStep {
        match self.resume_offset {
            Some(offset) => RetryStep::Resume {
                attempt: self.attempt,
                offset,
                same_target: false,
            },
            None => RetryStep::Send {
                attempt: self.attempt,
            },
        }
    }

    /// Starts the next attempt if the deadline, the policy and the limiter allow it.
    fn try_start_attempt<L>(&mut self, now: MilliTime, limiter: &mut L) -> bool
    where
        L: RetryLimiter,
    {
        if !self.may_start_attempt(now) || !limiter.try_acquire() {
            return false;
        }
        self.is_return = self.must_return_next();
        if !self.is_return {
            self.attempt += 1;
        }
        self.in_flight = true;
        true
    }

    /// Returns whether the deadline and the policy allow another attempt.
    fn may_start_attempt(&self, now: MilliTime) -> bool {
        let may_return = self.has_withdrawn || self.may_return;
        now < self.policy.deadline && (!self.must_return_next() || may_return)
    }

    /// Handles that no time is left for the current attempt; before the deadline itself a silent
    /// target keeps the request.
    fn handle_deadline(&mut self, now: MilliTime) -> RetryStep {
        if now >= self.policy.deadline {
            self.has_silent_target = false;
        }
        self.not_run_reason = NotRunReason::DeadlinePassed;
        self.fail(UnknownReason::DeadlinePassed)
    }

    /// Ends the request, unless a silent target still has it.
    fn fail(&mut self, reason: UnknownReason) -> RetryStep {
        if std::mem::take(&mut self.has_silent_target) {
            self.in_flight = true;
            return RetryStep::KeepTarget;
        }
        let outcome = if self.may_have_run {
            RequestOutcome::Unknown(reason)
        } else {
            RequestOutcome::NotRun(self.not_run_reason)
        };
        self.finish(outcome)
    }

    fn finish(&mut self, outcome: RequestOutcome) -> RetryStep {
        self.outcome = Some(outcome);
        RetryStep::Finish(outcome)
    }
}
