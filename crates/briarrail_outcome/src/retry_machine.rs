//! The attempts of one request.

use briarrail_model::{CallSemantics, MilliTime};

use crate::{
    AttemptEvent, NoRetryLimit, NotRunReason, RequestOutcome, RetryLimiter, RetryPolicy, RetryStep,
    UnknownReason,
};

/// Decides the attempts of one request, and its outcome.
///
/// An at-most-once call moves on only while no byte of it has left the router. An idempotent call
/// moves to another target until its answer has begun towards the caller; from then on the answer
/// can only be resumed, first at the same target, then elsewhere. An answer counts as begun with
/// [`AttemptEvent::HeadReceived`]; a router that holds a small answer back until it is whole
/// reports its loss as [`AttemptEvent::SendFailed`], and the call can move on.
///
/// ```
/// use briarrail_model::{CallSemantics, MilliTime};
/// use briarrail_outcome::{AttemptEvent, NoRetryLimit, RetryMachine, RetryPolicy, RetryStep};
///
/// let deadline = MilliTime::from_millis(1_000);
/// let plan = RetryPolicy::new(CallSemantics::Idempotent, deadline).with_max_attempts(3);
/// let mut machine = RetryMachine::new(plan);
/// let now = MilliTime::from_millis(0);
/// assert_eq!(machine.start(now), RetryStep::Send { attempt: 1 });
/// let step = machine.handle(AttemptEvent::SendFailed, now, &mut NoRetryLimit);
/// assert_eq!(step, RetryStep::Send { attempt: 2 });
/// ```
#[derive(Debug, Clone)]
pub struct RetryMachine {
    plan: RetryPolicy,
    attempt: u32,
    /// Moves after which no target had run the request.
    uncounted_retries: u32,
    /// Whether an attempt is under way, so that bytes of it may have left the router.
    in_flight: bool,
    /// Whether a target may have run the request, without a proof against it.
    may_have_run: bool,
    /// Whether the answer has begun towards the caller.
    has_begun: bool,
    /// Offset of the last resumption at the target that broke off.
    resumed_at: Option<u64>,
    last_refusal: NotRunReason,
    outcome: Option<RequestOutcome>,
}

impl RetryMachine {
    /// Makes the machine of a new request.
    #[must_use]
    pub const fn new(plan: RetryPolicy) -> Self {
        Self {
            plan,
            attempt: 0,
            uncounted_retries: 0,
            in_flight: false,
            may_have_run: false,
            has_begun: false,
            resumed_at: None,
            last_refusal: NotRunReason::NoTarget,
            outcome: None,
        }
    }

    /// Returns the first step.
    pub fn start(&mut self, now: MilliTime) -> RetryStep {
        if now >= self.plan.deadline {
            return self.handle_deadline();
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

    /// Takes what happened to the current attempt and returns the next step.
    ///
    /// After the outcome is decided, each further event returns it again.
    pub fn handle<A>(&mut self, event: AttemptEvent, now: MilliTime, allowance: &mut A) -> RetryStep
    where
        A: RetryLimiter,
    {
        if let Some(outcome) = self.outcome {
            return RetryStep::Finish(outcome);
        }
        let was_in_flight = std::mem::take(&mut self.in_flight);
        match event {
            AttemptEvent::Completed => self.finish(RequestOutcome::Answered),
            AttemptEvent::DeadlinePassed => {
                self.may_have_run |= was_in_flight;
                self.handle_deadline()
            }
            AttemptEvent::HeadReceived => {
                self.may_have_run = true;
                self.has_begun = true;
                RetryStep::Relay
            }
            AttemptEvent::NoTarget => self.fail(UnknownReason::ConnectionLost),
            AttemptEvent::ConnectFailed => self.handle_unsent(now, allowance),
            AttemptEvent::Refused { not_run: true } => self.handle_refusal(now, allowance),
            AttemptEvent::Refused { not_run: false } => {
                self.handle_loss(UnknownReason::TargetFailed, now, allowance)
            }
            AttemptEvent::SendFailed => {
                self.handle_loss(UnknownReason::ConnectionLost, now, allowance)
            }
            AttemptEvent::BadAnswer => self.handle_loss(UnknownReason::BadAnswer, now, allowance),
            AttemptEvent::BodyBroken { resume_at } => {
                self.handle_broken_body(resume_at, now, allowance)
            }
        }
    }

    fn handle_unsent<A>(&mut self, now: MilliTime, allowance: &mut A) -> RetryStep
    where
        A: RetryLimiter,
    {
        self.last_refusal = NotRunReason::Unreachable;
        if let Some(step) = self.move_freely(now, &mut NoRetryLimit) {
            return step;
        }
        self.move_on(UnknownReason::ConnectionLost, now, allowance)
    }

    fn handle_refusal<A>(&mut self, now: MilliTime, allowance: &mut A) -> RetryStep
    where
        A: RetryLimiter,
    {
        self.last_refusal = NotRunReason::TargetRefused;
        if let Some(step) = self.move_freely(now, allowance) {
            return step;
        }
        if self.plan.semantics == CallSemantics::AtMostOnce {
            return self.fail(UnknownReason::TargetFailed);
        }
        self.move_on(UnknownReason::TargetFailed, now, allowance)
    }

    fn handle_loss<A>(
        &mut self,
        reason: UnknownReason,
        now: MilliTime,
        allowance: &mut A,
    ) -> RetryStep
    where
        A: RetryLimiter,
    {
        self.may_have_run = true;
        if self.plan.semantics == CallSemantics::AtMostOnce {
            return self.fail(reason);
        }
        self.move_on(reason, now, allowance)
    }

    fn handle_broken_body<A>(
        &mut self,
        resume_at: Option<u64>,
        now: MilliTime,
        allowance: &mut A,
    ) -> RetryStep
    where
        A: RetryLimiter,
    {
        let reason = UnknownReason::ConnectionLost;
        let is_once = self.plan.semantics == CallSemantics::AtMostOnce;
        let Some(offset) = resume_at.filter(|_| !is_once) else {
            return self.fail(reason);
        };
        // A second break without progress means that the same target can't go on.
        let same_target = self.resumed_at != Some(offset);
        if !self.take_attempt(now, allowance) {
            return self.fail(reason);
        }
        self.resumed_at = Some(offset);
        RetryStep::Resume {
            attempt: self.attempt,
            offset,
            same_target,
        }
    }

    /// Moves to another target without counting an attempt, while the plan has free moves.
    fn move_freely<A>(&mut self, now: MilliTime, allowance: &mut A) -> Option<RetryStep>
    where
        A: RetryLimiter,
    {
        let may = now < self.plan.deadline && self.uncounted_retries < self.plan.uncounted_retries;
        if !may || (self.has_begun && self.resumed_at.is_none()) || !allowance.try_acquire() {
            return None;
        }
        self.uncounted_retries += 1;
        self.in_flight = true;
        Some(self.next_send())
    }

    /// Moves to another target, or resumes elsewhere when the answer has begun.
    fn move_on<A>(&mut self, reason: UnknownReason, now: MilliTime, allowance: &mut A) -> RetryStep
    where
        A: RetryLimiter,
    {
        if self.has_begun && self.resumed_at.is_none() {
            return self.fail(reason);
        }
        if !self.take_attempt(now, allowance) {
            return self.fail(reason);
        }
        self.next_send()
    }

    const fn next_send(&self) -> RetryStep {
        match self.resumed_at {
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

    fn take_attempt<A>(&mut self, now: MilliTime, allowance: &mut A) -> bool
    where
        A: RetryLimiter,
    {
        let may = now < self.plan.deadline && self.attempt < self.plan.max_attempts;
        if !may || !allowance.try_acquire() {
            return false;
        }
        self.attempt += 1;
        self.in_flight = true;
        true
    }

    fn handle_deadline(&mut self) -> RetryStep {
        self.last_refusal = NotRunReason::DeadlinePassed;
        self.fail(UnknownReason::DeadlinePassed)
    }

    fn fail(&mut self, reason: UnknownReason) -> RetryStep {
        let outcome = if self.may_have_run {
            RequestOutcome::Unknown(reason)
        } else {
            RequestOutcome::NotRun(self.last_refusal)
        };
        self.finish(outcome)
    }

    fn finish(&mut self, outcome: RequestOutcome) -> RetryStep {
        self.outcome = Some(outcome);
        RetryStep::Finish(outcome)
    }
}
