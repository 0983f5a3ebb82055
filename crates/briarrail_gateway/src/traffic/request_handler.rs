//! Handles one request, until the response to the caller starts.

use std::rc::Rc;

use briarrail_dispatch::{RefusalCause, SendOutcome, TargetKey, retry_after};
use briarrail_model::{MilliDuration, MilliTime};
use briarrail_outcome::{
    AttemptEvent, NotRunReason, RequestOutcome, RetryMachine, RetryPolicy, RetryStep,
    StreamChecker, UnknownReason,
};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::sync::watch;

use super::body_relay::BodyRelay;
use super::caller_memory::MemoryHold;
use super::caller_response::caller_response;
use super::chunk_sender::ChunkSender;
use super::first_answer::{FirstAnswer, PendingAnswer};
use super::gateway_reply::gateway_reply;
use super::receive_request::{STOP_REASON, receive_request};
use super::request_context::RequestContext;
use super::request_trace::RequestTrace;
use super::response_body::{ResponseBody, StreamCompletion};
use super::response_class::ResponseClass;
use super::stream_head::StreamHead;
use super::stream_origin::{OriginCall, resolve_origin};
use super::stream_relay::{StreamRelay, unknown_reason_text};
use super::stream_transfer::{MAX_FAILED_CONNECTS, OVERLAP};
use super::target_response::TargetResponse;
use super::target_send::{PreparedSend, prepare_send};
use super::target_silence::TargetSilence;
use super::traffic_state::{StopPhase, TrafficState};
use super::tried_targets::{TargetScope, TriedTargets};
use crate::WireDialect;

/// Maximum number of retries after a target that provably did not run the request.
const MAX_UNCOUNTED_RETRIES: u32 = 3;
/// Maximum number of retries after a target that refuses connections, while the list of targets does not
/// tell of its loss yet.
const MAX_CONNECT_RETRIES: u32 = 8;
/// Minimum time between two searches for another target of a request, for any objective.
const MIN_SEARCH_INTERVAL: MilliDuration = MilliDuration::from_millis(20);

/// Serves one request of a caller.
pub(crate) async fn serve_request<D>(
    state: &Rc<TrafficState<D>>,
    request: Request<Incoming>,
    hold: &Rc<MemoryHold>,
    stop: watch::Receiver<StopPhase>,
) -> Response<ResponseBody>
where
    D: WireDialect,
{
    let arrived_at = state.clock.now();
    let mut trace = RequestTrace::new(state, arrived_at);
    let (head, mut body) = request.into_parts();
    match receive_request(state, &head, &mut body, hold, arrived_at, &mut trace).await {
        Ok(mut context) => {
            let origin = resolve_origin(state, &mut context, &trace).await;
            let handler = RequestHandler::new(state, context, trace);
            match origin {
                Ok(()) => handler.run(stop).await,
                Err((cause, reason)) => handler.refuse(cause, reason),
            }
        }
        Err(refusal) => {
            state.body_discards.start(body);
            trace.set_outcome(refusal.outcome(), refusal.reason, refusal.status.as_u16());
            refusal.reply(state, trace.request_id())
        }
    }
}

/// Attempts a request at targets until the response to the caller starts.
struct RequestHandler<D> {
    state: Rc<TrafficState<D>>,
    context: Rc<RequestContext>,
    trace: RequestTrace<D>,
    machine: RetryMachine,
    tried: TriedTargets,
    /// Failure response of a target, relayed if no other target succeeds.
    failure_response: Option<Response<ResponseBody>>,
}

/// Result of asking other targets while one is silent.
enum SearchEnd<D> {
    /// Another target answered.
    Answered(FirstAnswer<D>),
    /// The silent target went on.
    Resumed(FirstAnswer<D>),
    /// Another target has the request; the silent one failed, or had its time.
    Replaced {
        other: PendingAnswer<D>,
        has_failed: bool,
    },
    /// No other target took the request.
    Kept,
}

impl<D> RequestHandler<D>
where
    D: WireDialect,
{
    fn new(state: &Rc<TrafficState<D>>, context: RequestContext, trace: RequestTrace<D>) -> Self {
        let policy = RetryPolicy::new(context.semantics.call_semantics(), context.deadline)
            .with_max_attempts(context.max_attempts)
            .with_uncounted_retries(MAX_UNCOUNTED_RETRIES)
            .with_connect_retries(MAX_CONNECT_RETRIES);
        Self {
            state: Rc::clone(state),
            context: Rc::new(context),
            trace,
            machine: RetryMachine::new(policy),
            tried: TriedTargets::default(),
            failure_response: None,
        }
    }

    /// Attempts the request; once the grace period of a stop is over, it is answered without a target.
    async fn run(mut self, mut stop: watch::Receiver<StopPhase>) -> Response<ResponseBody> {
        self.state.record_request(&self.context.service);
        if let Some(until) = self.state.blocked_until(&self.context.traits) {
            let remaining = until.since(self.state.clock.now());
            let cause = RefusalCause::SuspectBlocked(remaining);
            return self.refuse(cause, "request crashes targets");
        }
        if let Some(cause) = self.state.pause_cause(&self.context) {
            return self.refuse(cause, "targets paused");
        }
        if !self.is_admitted() {
            let cause = RefusalCause::AtCapacity(self.context.objective);
            return self.refuse(cause, "over capacity");
        }
        let attempted = tokio::select! {
            biased;
            attempted = self.attempt() => Some(attempted),
            _ = stop.wait_for(|&phase| phase == StopPhase::Ending) => None,
        };
        match attempted {
            Some(Ok(FirstAnswer::Stream(response, checker, first))) => {
                self.start_stream(response, checker, first)
            }
            Some(Ok(FirstAnswer::Complete(response, body))) => self.relay_response(*response, body),
            Some(Ok(FirstAnswer::Begun(response, begun))) => {
                let relay = BodyRelay {
                    state: self.state,
                    context: self.context,
                    trace: self.trace,
                    response,
                };
                relay.start(begun)
            }
            Some(Err(outcome)) => self.finish(outcome),
            Some(Ok(FirstAnswer::Failed(_))) => {
                self.finish(RequestOutcome::Unknown(UnknownReason::ConnectionLost))
            }
            None => self.end_at_stop(),
        }
    }

    /// Attempts the request until a target answers it.
    ///
    /// # Errors
    ///
    /// Fails with the outcome if no target does.
    async fn attempt(&mut self) -> Result<FirstAnswer<D>, RequestOutcome> {
        let mut step = self.machine.start(self.state.clock.now());
        loop {
            if let RetryStep::Finish(outcome) = step {
                return Err(outcome);
            }
            self.tried.set_scope(TargetScope {
                is_limited_to_returns: self.machine.is_return(),
                includes_left: true,
            });
            let prepared = prepare_send(
                &self.state,
                &self.context,
                &mut self.tried,
                self.context.resume_point,
                &mut self.trace,
            );
            let answer = match prepared.await {
                Ok(prepared) => self.wait_answer(prepared).await,
                Err(event) => FirstAnswer::Failed(event),
            };
            // A silent target that was kept has answered or failed by now.
            self.machine.leave_silent_target();
            step = match self.check_answer(answer) {
                Ok(FirstAnswer::Failed(event)) | Err(event) => self.next_step(event),
                Ok(answer) => return Ok(answer),
            };
        }
    }

    /// Builds the response to a request that has no answer when the router has to end.
    fn end_at_stop(mut self) -> Response<ResponseBody> {
        if self.trace.sends == 0 {
            return self.refuse(RefusalCause::RouterUnavailable, STOP_REASON);
        }
        let status = StatusCode::GATEWAY_TIMEOUT;
        self.trace
            .set_outcome("unknown", STOP_REASON, status.as_u16());
        self.reply(status, STOP_REASON, None)
    }

    /// Returns whether to send the request to a target at all.
    ///
    /// A stream that is taken up has used its share before.
    fn is_admitted(&mut self) -> bool {
        if self.context.resume_point.is_some() {
            return true;
        }
        let admission = self.state.admission_ratio(&self.context);
        self.trace.admission = Some(admission);
        admission.admits(self.context.seed())
    }

    fn next_step(&mut self, event: AttemptEvent) -> RetryStep {
        let mut limiter = || self.state.try_take_retry(&self.context.service);
        self.machine
            .handle(event, self.state.clock.now(), &mut limiter)
    }

    /// Sends the request and waits for an answer; a silent target is left only once another one has
    /// the request.
    async fn wait_answer(&mut self, prepared: PreparedSend<D>) -> FirstAnswer<D> {
        let mut current = self.start_attempt(prepared);
        let mut next_search_at = self.state.clock.now();
        loop {
            let timeout = self.state.response_timeout(&self.context);
            let search_at = current.silent_at(timeout).max(next_search_at);
            let may_leave = self.machine.may_leave_target(None, self.state.clock.now());
            tokio::select! {
                biased;
                answer = current.answer() => return answer,
                () = tokio::time::sleep_until(self.state.clock.instant(search_at)), if may_leave => {}
            }
            if self.state.clock.now() < current.silent_at(timeout) {
                continue;
            }
            let silence = TargetSilence {
                target_id: self.trace.target_id.clone(),
                target_knowledge: self.trace.target_knowledge,
                since: current.waiting_since(),
                events: 0,
                resume_at: None,
            };
            let searched = self.search_target(&mut current).await;
            let now = self.state.clock.now();
            match searched {
                SearchEnd::Replaced { other, has_failed } => {
                    self.machine.leave_silent_target();
                    if !has_failed {
                        // The other target may still refuse.
                        self.record_left(current.target());
                    }
                    silence.log(&self.trace, now, "left", "another target has the request");
                    std::mem::replace(&mut current, other).leave();
                }
                SearchEnd::Answered(answer) => {
                    // The other target may still break its answer off.
                    self.record_left(current.target());
                    silence.log(&self.trace, now, "left", "another target goes on");
                    current.leave();
                    return answer;
                }
                SearchEnd::Resumed(answer) => {
                    silence.log(&self.trace, now, "kept", "went on");
                    self.trace
                        .return_to(silence.target_id, silence.target_knowledge);
                    return answer;
                }
                SearchEnd::Kept => {
                    silence.log(&self.trace, now, "kept", "no other target");
                    self.trace
                        .return_to(silence.target_id, silence.target_knowledge);
                }
            }
            next_search_at = now + timeout.max(MIN_SEARCH_INTERVAL);
        }
    }

    /// Asks other targets for an answer while the one of `silent` is waited for.
    async fn search_target(&mut self, silent: &mut PendingAnswer<D>) -> SearchEnd<D> {
        let mut is_attempted = false;
        let mut failed_connects = 0;
        let mut overlap_end = None;
        loop {
            self.tried.set_scope(TargetScope {
                is_limited_to_returns: if is_attempted {
                    self.machine.is_return()
                } else {
                    self.machine.must_return_next()
                },
                includes_left: false,
            });
            let preparing = prepare_send(
                &self.state,
                &self.context,
                &mut self.tried,
                self.context.resume_point,
                &mut self.trace,
            );
            let prepared = tokio::select! {
                biased;
                answer = silent.answer() => {
                    self.machine.keep_silent_target();
                    return SearchEnd::Resumed(answer);
                }
                prepared = preparing => prepared,
            };
            let event = match prepared {
                Ok(prepared) => {
                    let silence = AttemptEvent::TargetSilent { resume_at: None };
                    if !is_attempted && !is_next_send(self.next_step(silence)) {
                        return SearchEnd::Kept;
                    }
                    is_attempted = true;
                    let now = self.state.clock.now();
                    let overlap_end = *overlap_end.get_or_insert_with(|| OVERLAP.end_at(now));
                    match self.race(silent, prepared, overlap_end).await {
                        Ok(end) => return end,
                        Err(event) => event,
                    }
                }
                Err(AttemptEvent::ConnectFailed)
                    if !is_attempted && failed_connects < MAX_FAILED_CONNECTS =>
                {
                    failed_connects += 1;
                    continue;
                }
                Err(_) if !is_attempted => return SearchEnd::Kept,
                Err(event) => event,
            };
            // The request still depends on the silent target, whatever ends the search.
            if !is_next_send(self.next_step(event)) {
                return SearchEnd::Kept;
            }
        }
    }

    /// Sends the request to another target as well, until one of both answers; at `overlap_end` the
    /// silent one is given up.
    ///
    /// # Errors
    ///
    /// Fails with the event of the other target if that has no usable answer.
    async fn race(
        &mut self,
        silent: &mut PendingAnswer<D>,
        prepared: PreparedSend<D>,
        overlap_end: MilliTime,
    ) -> Result<SearchEnd<D>, AttemptEvent> {
        let mut other = self.start_attempt(prepared);
        tokio::select! {
            biased;
            answer = silent.answer() => match self.check_answer(answer) {
                Ok(answer) => {
                    self.machine.withdraw_attempt();
                    self.tried.record_withdrawn(other.target());
                    Ok(SearchEnd::Resumed(answer))
                }
                // The other target may still answer.
                Err(_) => Ok(SearchEnd::Replaced {
                    other,
                    has_failed: true,
                }),
            },
            answer = other.answer() => self.check_answer(answer).map(SearchEnd::Answered),
            () = tokio::time::sleep_until(self.state.clock.instant(overlap_end)) => {
                Ok(SearchEnd::Replaced {
                    other,
                    has_failed: false,
                })
            }
        }
    }

    /// Records that a silent target was left, which may be asked again if the other one fails.
    fn record_left(&mut self, silent: TargetKey) {
        self.machine.allow_return();
        self.tried.record_left(silent);
    }

    fn start_attempt(&mut self, prepared: PreparedSend<D>) -> PendingAnswer<D> {
        let log = self.trace.start_send();
        PendingAnswer::start(&self.state, &self.context, log, prepared)
    }

    /// Returns the answer, or the event of the attempt if it is not usable.
    fn check_answer(&mut self, answer: FirstAnswer<D>) -> Result<FirstAnswer<D>, AttemptEvent> {
        match answer {
            FirstAnswer::Failed(event) => Err(event),
            FirstAnswer::Complete(response, body)
                if response.class == ResponseClass::TargetFailed =>
            {
                self.keep_failure_response(*response, body);
                Err(AttemptEvent::Refused { not_run: false })
            }
            answer => Ok(answer),
        }
    }

    /// Starts the response to the caller; a [`StreamRelay`] task relays the rest.
    fn start_stream(
        mut self,
        mut response: Box<TargetResponse<D>>,
        checker: StreamChecker,
        first: Vec<Bytes>,
    ) -> Response<ResponseBody> {
        let now = self.state.clock.now();
        let event = AttemptEvent::HeadReceived;
        self.machine.handle(event, now, &mut || false);
        response.guard.record_event();
        response.guard.record_outcome(SendOutcome::Good);
        let elapsed = response.guard.elapsed();
        self.state
            .record_response_time(&self.context.route, elapsed);
        let stream = self.context.stream_key();
        let call = OriginCall::Began(stream, response.release);
        self.state.send_origin_call(call);
        self.trace.record_first_event();
        self.trace.events += first.len() as u64;
        let (chunk_sender, chunks) = ChunkSender::channel(&self.context.hold);
        let completion = StreamCompletion::default();
        let body = ResponseBody::stream(chunks, completion.clone());
        let relayed = caller_response(&response.head, body);
        let relay = StreamRelay {
            stream_head: StreamHead::read(&response.head),
            state: self.state,
            context: self.context,
            machine: self.machine,
            checker,
            tried: self.tried,
            trace: self.trace,
            response,
            chunk_sender,
            completion,
        };
        tokio::task::spawn_local(relay.run(first));
        relayed
    }

    /// Relays a complete response.
    fn relay_response(
        &mut self,
        mut response: TargetResponse<D>,
        body: Bytes,
    ) -> Response<ResponseBody> {
        response.guard.record_completion();
        let elapsed = response.guard.elapsed();
        self.state
            .record_response_time(&self.context.route, elapsed);
        self.state.metrics.count_send(&self.context.service, "good");
        let relayed = caller_response(&response.head, ResponseBody::full(body));
        response.release_connection(&self.state);
        self.trace
            .set_outcome("answered", "", relayed.status().as_u16());
        relayed
    }

    /// Keeps a failure response of a target, which is relayed if no other target succeeds.
    fn keep_failure_response(&mut self, mut response: TargetResponse<D>, body: Bytes) {
        response.guard.record_outcome(SendOutcome::Failed);
        let log = self.trace.send_log();
        log.record_failure("target_failed", &response.head.status);
        self.failure_response = Some(caller_response(&response.head, ResponseBody::full(body)));
        response.release_connection(&self.state);
    }

    /// Builds the response to a request that no target completed.
    fn finish(mut self, outcome: RequestOutcome) -> Response<ResponseBody> {
        if let Some(response) = self.failure_response.take() {
            let status = response.status().as_u16();
            self.trace
                .set_outcome("target_failed", "relayed failure", status);
            return response;
        }
        let (status, reason) = match outcome {
            RequestOutcome::NotRun(reason) => {
                let cause = self.state.not_run_cause(&self.context, reason);
                return self.refuse(cause, not_run_reason_text(reason));
            }
            RequestOutcome::Unknown(UnknownReason::DeadlinePassed) => (
                StatusCode::GATEWAY_TIMEOUT,
                unknown_reason_text(UnknownReason::DeadlinePassed),
            ),
            RequestOutcome::Unknown(reason) => {
                (StatusCode::BAD_GATEWAY, unknown_reason_text(reason))
            }
            RequestOutcome::Answered => (StatusCode::BAD_GATEWAY, "answered without answer"),
        };
        self.trace.set_outcome("unknown", reason, status.as_u16());
        self.reply(status, reason, None)
    }

    /// Builds the response to a request that no target ran.
    fn refuse(mut self, cause: RefusalCause, reason: &'static str) -> Response<ResponseBody> {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        self.trace.set_outcome("not_run", reason, status.as_u16());
        let delay = retry_after(cause, self.context.seed());
        self.reply(status, reason, Some(delay))
    }

    fn reply(
        &self,
        status: StatusCode,
        reason: &'static str,
        delay: Option<MilliDuration>,
    ) -> Response<ResponseBody> {
        let request_id = Some(self.trace.request_id());
        gateway_reply(&self.state.dialect, status, reason, request_id, delay)
    }
}

/// Returns whether a step is a send to another target.
const fn is_next_send(step: RetryStep) -> bool {
    match step {
        RetryStep::Send { .. } | RetryStep::Resume { .. } => true,
        RetryStep::Relay | RetryStep::KeepTarget | RetryStep::Finish(_) => false,
    }
}

const fn not_run_reason_text(reason: NotRunReason) -> &'static str {
    match reason {
        NotRunReason::NoTarget => "no target",
        NotRunReason::TargetRefused => "targets refused",
        NotRunReason::Unreachable => "no target reachable",
        NotRunReason::DeadlinePassed => "deadline passed before sending",
        _ => "not run",
    }
}
