//! Attempts of one call.

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
    AdmissionGuard, AttemptHeaders, BufferedResponse, CallPermit, CallRecorder, CallerReply,
    CallerRequest, ClaimGrant, RoutedCall, TargetResponse, TrafficContext, UploadProgress,
};
use crate::state::{InFlightGuard, RouteMatch, TargetEntry, TargetPick};

/// Runs the attempts of one call and counts and reports its outcome.
#[derive(Debug)]
pub(crate) struct CallDriver {
    /// Context shared by all calls.
    pub(crate) context: Arc<TrafficContext>,
    /// The request.
    pub(crate) request: Arc<CallerRequest>,
    /// Route and pool of the request.
    pub(crate) source: RouteMatch,
    /// Metrics of the call.
    pub(crate) recorder: CallRecorder,
    machine: RetryMachine,
    deadline: Instant,
    grant: Option<ClaimGrant>,
    tried_targets: Vec<HostName>,
    target: Option<TargetEntry>,
    in_flight_guard: Option<InFlightGuard>,
    admission: Option<AdmissionGuard>,
    waited: MilliDuration,
}

impl CallDriver {
    /// Creates the driver of a routed call.
    pub(crate) fn new(context: &Arc<TrafficContext>, call: RoutedCall, permit: CallPermit) -> Self {
        let RoutedCall {
            request,
            source,
            recorder,
        } = call;
        let deadline = request.received_at + source.route.deadline_ms;
        let policy = RetryPolicy::new(source.route.semantics, deadline)
            .with_max_attempts(source.pool.row.limits.max_attempts);
        let remaining = Duration::from(deadline.since(context.clock.now()));
        Self {
            context: Arc::clone(context),
            request,
            source,
            recorder,
            machine: RetryMachine::new(policy),
            deadline: Instant::now() + remaining,
            grant: permit.grant,
            tried_targets: Vec::new(),
            target: None,
            in_flight_guard: None,
            admission: Some(permit.admission),
            waited: MilliDuration::ZERO,
        }
    }

    /// Runs attempts until a response head arrives or the outcome is decided.
    ///
    /// # Errors
    ///
    /// Fails with the reply to the caller if the call ends without a response.
    pub(crate) async fn run(&mut self) -> Result<TargetResponse, Box<CallerReply>> {
        let step = self.machine.start(self.now());
        self.perform(step).await
    }

    /// Handles an event and runs attempts until a response head arrives or the outcome is decided.
    ///
    /// # Errors
    ///
    /// Fails with the reply to the caller if the call ends without a response.
    pub(crate) async fn continue_after(
        &mut self,
        event: AttemptEvent,
    ) -> Result<TargetResponse, Box<CallerReply>> {
        let step = self.handle(event);
        self.perform(step).await
    }

    /// Passes an event to the retry state machine and returns the next step.
    pub(crate) fn handle(&mut self, event: AttemptEvent) -> RetryStep {
        let now = self.now();
        let semantics = self.source.route.semantics;
        let runtime = &self.source.pool.runtime;
        // An at-most-once call is sent again only if no byte of it was sent before, so it needs no
        // retry budget.
        let mut limiter = || semantics == CallSemantics::AtMostOnce || runtime.try_retry(semantics);
        self.machine.handle(event, now, &mut limiter)
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> MilliTime {
        self.context.clock.now()
    }

    /// Returns the deadline of the call.
    pub(crate) fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns whether the call is an at-most-once call.
    pub(crate) fn is_at_most_once(&self) -> bool {
        self.source.route.semantics == CallSemantics::AtMostOnce
    }

    /// Returns whether the targets are model engines.
    pub(crate) fn is_model_pool(&self) -> bool {
        self.source.pool.row.kind == PoolKind::Model
    }

    /// Ends the call with a buffered response, of which nothing was sent to the caller yet.
    pub(crate) fn complete(&mut self, response: &BufferedResponse) {
        self.handle(AttemptEvent::HeadReceived);
        self.handle(AttemptEvent::Completed);
        let now = self.now();
        self.recorder.record_events(1, now);
        self.report(ClaimOutcome::Answered(response.to_claim_answer()));
        self.finish(RequestOutcome::Answered);
    }

    /// Ends the call with a response that was relayed as it arrived; its body is not recorded.
    pub(crate) fn complete_streamed(&mut self, status: u16) {
        self.handle(AttemptEvent::Completed);
        let answer = ClaimAnswer {
            status,
            content_type: None,
            body: None,
        };
        self.report(ClaimOutcome::Answered(answer));
        self.finish(RequestOutcome::Answered);
    }

    /// Counts and reports the outcome, and releases the target and the admission.
    pub(crate) fn finish(&mut self, outcome: RequestOutcome) {
        match outcome {
            RequestOutcome::NotRun(_) => self.report(ClaimOutcome::NotRun),
            RequestOutcome::Unknown(_) => self.report(ClaimOutcome::Unknown),
            RequestOutcome::Answered => {}
        }
        let now = self.now();
        self.recorder.finish(outcome, now);
        if outcome == RequestOutcome::Answered {
            let duration = now.since(self.request.received_at);
            self.source.pool.runtime.record_stream_time(duration);
        }
        self.in_flight_guard = None;
        self.admission = None;
        let request_id = &self.request.id;
        let outcome_name = outcome.as_header();
        tracing::debug!(%request_id, outcome = outcome_name, "traffic: request ended");
    }

    /// Reports the outcome of the claim; later calls have no effect.
    fn report(&mut self, outcome: ClaimOutcome) {
        if let Some(grant) = self.grant.take() {
            self.context.claims.report(&grant, outcome);
        }
    }

    /// Performs retry steps until a response head arrives or the outcome is decided.
    async fn perform(&mut self, first_step: RetryStep) -> Result<TargetResponse, Box<CallerReply>> {
        let mut step = first_step;
        loop {
            let result = match step {
                RetryStep::Send { .. } => self.send_to_next_target(None).await?,
                RetryStep::Resume {
                    offset,
                    same_target: true,
                    ..
                } => self.resume_at_same_target(offset).await,
                RetryStep::Resume { offset, .. } => self.send_to_next_target(Some(offset)).await?,
                RetryStep::Finish(outcome) => return Err(self.finish_with_reply(outcome)),
                // Returned only for `HeadReceived` and `TargetSilent`, which are never passed here.
                RetryStep::Relay | RetryStep::KeepTarget => Err(AttemptEvent::BadAnswer),
            };
            match result {
                Ok(response) => return Ok(response),
                Err(event) => step = self.handle(event),
            }
        }
    }

    fn finish_with_reply(&mut self, outcome: RequestOutcome) -> Box<CallerReply> {
        self.finish(outcome);
        Box::new(CallerReply::from_outcome(OutcomeReply::from(outcome)))
    }

    /// Sends the request to the next target, and waits for one while all are at their load limit.
    async fn send_to_next_target(
        &mut self,
        resume_at: Option<u64>,
    ) -> Result<Result<TargetResponse, AttemptEvent>, Box<CallerReply>> {
        loop {
            self.refresh_pool();
            match self.pick() {
                TargetPick::Send(target) => {
                    self.tried_targets.push(target.name.clone());
                    return Ok(self.send_attempt(target, resume_at).await);
                }
                TargetPick::Wait(delay) => self.wait(delay).await,
                TargetPick::Overloaded(retry_after) if self.tried_targets.is_empty() => {
                    return Err(self.refuse_overloaded(retry_after));
                }
                TargetPick::Overloaded(_) | TargetPick::NoTarget => {
                    return Ok(Err(AttemptEvent::NoTarget));
                }
            }
        }
    }

    /// Switches to the current snapshot of the pool, if it still exists.
    fn refresh_pool(&mut self) {
        let snapshot = self.context.state.snapshot();
        if let Some(pool) = snapshot.pools.get(&self.source.pool.row.name) {
            self.source.pool = Arc::clone(pool);
        }
    }

    fn pick(&self) -> TargetPick {
        let seed = hash_bytes(self.request.id.as_bytes()).0;
        self.source.pool.pick(
            self.request.chat_hash,
            &self.tried_targets,
            self.waited,
            seed,
        )
    }

    fn refuse_overloaded(&mut self, retry_after: MilliDuration) -> Box<CallerReply> {
        self.finish(RequestOutcome::NotRun(NotRunReason::Overloaded));
        Box::new(CallerReply::overloaded(retry_after))
    }

    async fn wait(&mut self, delay: MilliDuration) {
        self.waited = self.waited + delay;
        let until = Instant::now() + Duration::from(delay);
        tokio::time::sleep_until(until.min(self.deadline)).await;
    }

    /// Requests the rest of the response from the same target.
    async fn resume_at_same_target(&mut self, offset: u64) -> Result<TargetResponse, AttemptEvent> {
        match self.target.clone() {
            Some(target) => self.send_attempt(target, Some(offset)).await,
            None => Err(AttemptEvent::NoTarget),
        }
    }

    async fn send_attempt(
        &mut self,
        target: TargetEntry,
        resume_at: Option<u64>,
    ) -> Result<TargetResponse, AttemptEvent> {
        self.in_flight_guard = Some(target.counters.track_request());
        self.recorder.record_attempt();
        let request_id = self.request.id.clone();
        let headers = AttemptHeaders {
            priority: priority_name(self.priority()),
            fencing: self.grant.as_ref().map(|grant| grant.fencing),
            last_event_id: resume_at.and_then(|offset| offset.checked_sub(1)),
            request_id: &request_id,
        };
        tracing::debug!(%request_id, target = %target.name, "traffic: sending attempt");
        let response = self.send(&target, headers).await;
        self.target = Some(target);
        let kind = self.source.pool.row.kind;
        let is_new_connection = self.is_at_most_once();
        let (response, upload) = response?;
        let response =
            TargetResponse::check(response, upload, kind, &request_id, is_new_connection)?;
        if let Some((prompt, cached)) = response.prompt_tokens() {
            self.recorder.record_prompt_tokens(prompt, cached);
            if self.request.is_returning() {
                self.source.pool.runtime.count_returning_chat(cached > 0);
            }
        }
        Ok(response)
    }

    fn priority(&self) -> CallPriority {
        let admitted = self.admission.as_ref().map(AdmissionGuard::priority);
        admitted.unwrap_or(self.source.route.priority)
    }

    async fn send(
        &self,
        target: &TargetEntry,
        headers: AttemptHeaders<'_>,
    ) -> Result<(reqwest::Response, UploadProgress), AttemptEvent> {
        let client = &self.context.client;
        let send = async {
            if self.is_at_most_once() {
                client.send_once(target, &self.request, headers).await
            } else {
                client.send(target, &self.request, headers).await
            }
        };
        match tokio::time::timeout_at(self.deadline, send).await {
            Ok(result) => result.map_err(|error| send_error_event(&error)),
            Err(_) => Err(AttemptEvent::DeadlinePassed),
        }
    }
}

/// Maps an error to an event by whether bytes of the request may have been sent.
fn send_error_event(error: &reqwest::Error) -> AttemptEvent {
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
    /// Reports the outcome of a granted claim as unknown if the call ended without one.
    fn drop(&mut self) {
        self.report(ClaimOutcome::Unknown);
    }
}
