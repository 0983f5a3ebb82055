//! The attempts of one call.

use std::sync::Arc;
use std::time::Duration;

use briarrail_model::{
    CallPriority, CallSemantics, HostName, MilliDuration, MilliTime, PoolKind, hash_bytes,
};
use briarrail_outcome::{
    AttemptEvent, NotRunReason, OutcomeReply, RequestOutcome, RetryMachine, RetryPolicy, RetryStep,
};
use briarrail_peer::{ClaimAnswer, ClaimOutcome};
use tokio::time::Instant;

use super::{
    AdmissionGuard, AttemptHeaders, CallPermit, CallRecord, CallerReply, CallerRequest, ClaimGrant,
    RoutedCall, TargetAnswer, TrafficContext, WholeAnswer,
};
use crate::state::{InFlightGuard, RoutingSource, TargetEntry, TargetPick};

/// Carries one call through its attempts.
#[derive(Debug)]
pub(crate) struct CallDriver {
    /// Shared parts of all calls.
    pub(crate) context: Arc<TrafficContext>,
    /// The request.
    pub(crate) request: Arc<CallerRequest>,
    /// Route and pool.
    pub(crate) source: RoutingSource,
    /// Measurements.
    pub(crate) record: CallRecord,
    machine: RetryMachine,
    deadline: Instant,
    grant: Option<ClaimGrant>,
    tried: Vec<HostName>,
    target: Option<TargetEntry>,
    guard: Option<InFlightGuard>,
    admission: Option<AdmissionGuard>,
    waited: MilliDuration,
}

impl CallDriver {
    /// Makes the driver of a routed call.
    pub(crate) fn new(context: &Arc<TrafficContext>, call: RoutedCall, permit: CallPermit) -> Self {
        let RoutedCall {
            request,
            source,
            record,
        } = call;
        let deadline = request.received_at + source.route.deadline_ms;
        let plan = RetryPolicy::new(source.route.semantics, deadline)
            .with_max_attempts(source.pool.row.limits.max_attempts);
        let left = Duration::from(deadline.since(context.clock.now()));
        Self {
            context: Arc::clone(context),
            request,
            source,
            record,
            machine: RetryMachine::new(plan),
            deadline: Instant::now() + left,
            grant: permit.grant,
            tried: Vec::new(),
            target: None,
            guard: None,
            admission: Some(permit.admission),
            waited: MilliDuration::ZERO,
        }
    }

    /// Runs attempts until an answer is ready to be relayed, or the outcome is decided.
    ///
    /// # Errors
    ///
    /// Returns the reply for a call that ends without an answer.
    pub(crate) async fn run(&mut self) -> Result<TargetAnswer, Box<CallerReply>> {
        let step = self.machine.start(self.now());
        self.follow(step).await
    }

    /// Goes on after an event until an answer is ready, or the outcome is decided.
    ///
    /// # Errors
    ///
    /// Returns the reply for a call that ends without an answer.
    pub(crate) async fn go_on(
        &mut self,
        event: AttemptEvent,
    ) -> Result<TargetAnswer, Box<CallerReply>> {
        let step = self.handle(event);
        self.follow(step).await
    }

    /// Tells the retry decision what happened.
    pub(crate) fn handle(&mut self, event: AttemptEvent) -> RetryStep {
        let now = self.now();
        let semantics = self.source.route.semantics;
        let runtime = &self.source.pool.runtime;
        // An at-most-once call moves on only while nothing of it was sent, which is no retry.
        let mut allowance =
            || semantics == CallSemantics::AtMostOnce || runtime.try_retry(semantics);
        self.machine.handle(event, now, &mut allowance)
    }

    /// Returns the present time.
    pub(crate) fn now(&self) -> MilliTime {
        self.context.clock.now()
    }

    /// Returns when the call has to end.
    pub(crate) fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns whether the call may run only once.
    pub(crate) fn is_at_most_once(&self) -> bool {
        self.source.route.semantics == CallSemantics::AtMostOnce
    }

    /// Returns whether the targets are model engines.
    pub(crate) fn is_model_pool(&self) -> bool {
        self.source.pool.row.kind == PoolKind::Model
    }

    /// Ends the call with a whole answer that was held back so far.
    pub(crate) fn complete(&mut self, answer: &WholeAnswer) {
        self.handle(AttemptEvent::HeadReceived);
        self.handle(AttemptEvent::Completed);
        let now = self.now();
        self.record.note_events(1, now);
        self.report(ClaimOutcome::Answered(answer.to_claim_answer()));
        self.finish(RequestOutcome::Answered);
    }

    /// Ends the call with an answer that was relayed while it came.
    pub(crate) fn complete_relayed(&mut self, status: u16) {
        self.handle(AttemptEvent::Completed);
        let answer = ClaimAnswer {
            status,
            content_type: None,
            body: None,
        };
        self.report(ClaimOutcome::Answered(answer));
        self.finish(RequestOutcome::Answered);
    }

    /// Counts the outcome and lets go of the target.
    pub(crate) fn finish(&mut self, outcome: RequestOutcome) {
        match outcome {
            RequestOutcome::NotRun(_) => self.report(ClaimOutcome::NotRun),
            RequestOutcome::Unknown(_) => self.report(ClaimOutcome::Unknown),
            RequestOutcome::Answered => {}
        }
        let now = self.now();
        self.record.finish(outcome, now);
        if outcome == RequestOutcome::Answered {
            let time = now.since(self.request.received_at);
            self.source.pool.runtime.learn_stream_time(time);
        }
        self.guard = None;
        self.admission = None;
        let request_id = &self.request.id;
        let name = outcome.as_header();
        tracing::debug!(%request_id, outcome = name, "traffic: request ended");
    }

    /// Reports the outcome of the claim, once.
    fn report(&mut self, outcome: ClaimOutcome) {
        if let Some(grant) = self.grant.take() {
            self.context.claims.report(&grant, outcome);
        }
    }

    async fn follow(&mut self, first: RetryStep) -> Result<TargetAnswer, Box<CallerReply>> {
        let mut step = first;
        loop {
            let result = match step {
                RetryStep::Send { .. } => self.send_elsewhere(None).await?,
                RetryStep::Resume {
                    offset,
                    same_target: true,
                    ..
                } => self.send_again(offset).await,
                RetryStep::Resume { offset, .. } => self.send_elsewhere(Some(offset)).await?,
                RetryStep::Finish(outcome) => return Err(self.end(outcome)),
                // The machine answers a head with it; attempts end with an answer instead.
                RetryStep::Relay => Err(AttemptEvent::BadAnswer),
            };
            match result {
                Ok(answer) => return Ok(answer),
                Err(event) => step = self.handle(event),
            }
        }
    }

    fn end(&mut self, outcome: RequestOutcome) -> Box<CallerReply> {
        self.finish(outcome);
        Box::new(CallerReply::from_outcome(OutcomeReply::from(outcome)))
    }

    /// Sends to a target that was not tried, waiting for one when all are at their bound.
    async fn send_elsewhere(
        &mut self,
        resume_at: Option<u64>,
    ) -> Result<Result<TargetAnswer, AttemptEvent>, Box<CallerReply>> {
        loop {
            self.refresh_pool();
            match self.pick() {
                TargetPick::Send(target) => {
                    self.tried.push(target.name.clone());
                    return Ok(self.attempt(target, resume_at).await);
                }
                TargetPick::Wait(span) => self.wait(span).await,
                TargetPick::Overloaded(span) if self.tried.is_empty() => {
                    return Err(self.refuse(span));
                }
                TargetPick::Overloaded(_) | TargetPick::NoTarget => {
                    return Ok(Err(AttemptEvent::NoTarget));
                }
            }
        }
    }

    /// Takes over what became known of the pool since the last attempt.
    fn refresh_pool(&mut self) {
        let snapshot = self.context.state.snapshot();
        if let Some(pool) = snapshot.pools.get(&self.source.pool.row.name) {
            self.source.pool = Arc::clone(pool);
        }
    }

    fn pick(&self) -> TargetPick {
        let seed = hash_bytes(self.request.id.as_bytes()).0;
        self.source
            .pool
            .pick(self.request.chat, &self.tried, self.waited, seed)
    }

    fn refuse(&mut self, retry_after: MilliDuration) -> Box<CallerReply> {
        self.finish(RequestOutcome::NotRun(NotRunReason::Overloaded));
        Box::new(CallerReply::overloaded(retry_after))
    }

    async fn wait(&mut self, span: MilliDuration) {
        self.waited = self.waited + span;
        let until = Instant::now() + Duration::from(span);
        tokio::time::sleep_until(until.min(self.deadline)).await;
    }

    /// Asks the same target for the rest of its answer.
    async fn send_again(&mut self, offset: u64) -> Result<TargetAnswer, AttemptEvent> {
        match self.target.clone() {
            Some(target) => self.attempt(target, Some(offset)).await,
            None => Err(AttemptEvent::NoTarget),
        }
    }

    async fn attempt(
        &mut self,
        target: TargetEntry,
        resume_at: Option<u64>,
    ) -> Result<TargetAnswer, AttemptEvent> {
        self.guard = Some(target.counters.enter());
        self.record.note_attempt();
        let request_id = self.request.id.clone();
        let headers = AttemptHeaders {
            priority: priority_name(self.priority()),
            fencing: self.grant.as_ref().map(|grant| grant.fencing),
            last_event: resume_at.and_then(|offset| offset.checked_sub(1)),
            request_id: &request_id,
        };
        tracing::debug!(%request_id, target = %target.name, "traffic: attempt sent");
        let response = self.send(&target, headers).await;
        self.target = Some(target);
        let answer = TargetAnswer::check(response?, self.source.pool.row.kind, &request_id)?;
        if let Some((prompt, cached)) = answer.prompt_tokens() {
            self.record.note_prompt(prompt, cached);
            if self.request.is_returning() {
                self.source.pool.runtime.count_returning(cached > 0);
            }
        }
        Ok(answer)
    }

    fn priority(&self) -> CallPriority {
        let admitted = self.admission.as_ref().map(AdmissionGuard::priority);
        admitted.unwrap_or(self.source.route.priority)
    }

    async fn send(
        &self,
        target: &TargetEntry,
        headers: AttemptHeaders<'_>,
    ) -> Result<reqwest::Response, AttemptEvent> {
        let client = &self.context.client;
        let send = async {
            if self.is_at_most_once() {
                client.send_once(target, &self.request, headers).await
            } else {
                client.send(target, &self.request, headers).await
            }
        };
        match tokio::time::timeout_at(self.deadline, send).await {
            Ok(result) => result.map_err(|error| send_event(&error)),
            Err(_) => Err(AttemptEvent::DeadlinePassed),
        }
    }
}

/// Tells whether a byte may have left the router.
fn send_event(error: &reqwest::Error) -> AttemptEvent {
    if error.is_connect() || error.is_builder() {
        AttemptEvent::ConnectFailed
    } else {
        AttemptEvent::SendFailed
    }
}

const fn priority_name(priority: CallPriority) -> &'static str {
    match priority {
        CallPriority::Interactive => "interactive",
        CallPriority::Deferrable => "deferrable",
    }
}

impl Drop for CallDriver {
    /// Reports a call that was abandoned after its claim was granted.
    fn drop(&mut self) {
        self.report(ClaimOutcome::Unknown);
    }
}
