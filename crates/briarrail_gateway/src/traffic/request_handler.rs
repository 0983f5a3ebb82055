//! Handles one request, until the response to the caller starts.

use std::rc::Rc;

use briarrail_dispatch::{RefusalCause, SendOutcome, retry_after};
use briarrail_model::{CallSemantics, MilliDuration, MilliTime};
use briarrail_outcome::{
    AttemptEvent, NotRunReason, RequestOutcome, RetryMachine, RetryPolicy, RetryStep,
    StreamChecker, UnknownReason,
};
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response, StatusCode, response};
use hyper::body::Incoming;
use tokio::sync::mpsc;

use super::gateway_reply::gateway_reply;
use super::receive_request::receive_request;
use super::request_context::{RequestContext, remove_hop_by_hop_headers};
use super::request_trace::RequestTrace;
use super::response_body::ResponseBody;
use super::response_class::{ResponseClass, is_close_delimited, reuse_timeout};
use super::stream_origin::{OriginCall, resolve_origin};
use super::stream_relay::{BodyRead, StreamRelay, read_body_chunk, unknown_reason_text};
use super::target_send::{SendResult, TargetResponse, TriedTargets, send_to_target};
use super::traffic_state::TrafficState;
use crate::WireDialect;

/// Maximum number of retries after a target that provably did not run the request.
const MAX_UNCOUNTED_RETRIES: u32 = 3;
/// Maximum size of a response that is not a stream, and of the part of a stream before its first
/// event with data. A response that is not a stream is read completely before it is relayed, so
/// that an interrupted one can be retried or reported as a failure.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 256 << 10;
/// Maximum number of stream chunks buffered for a slow caller.
const STREAM_BUFFER_CHUNKS: usize = 8;

/// Serves one request of a caller.
pub(crate) async fn serve_request<D>(
    state: &Rc<TrafficState<D>>,
    request: Request<Incoming>,
) -> Response<ResponseBody>
where
    D: WireDialect,
{
    let arrived_at = state.clock.now();
    let mut trace = RequestTrace::new(state, arrived_at);
    let (head, body) = request.into_parts();
    match receive_request(state, &head, body, arrived_at, &mut trace).await {
        Ok(mut context) => {
            let origin = resolve_origin(state, &mut context, &trace).await;
            let handler = RequestHandler::new(state, context, trace);
            match origin {
                Ok(()) => handler.run().await,
                Err((cause, reason)) => handler.refuse(cause, reason),
            }
        }
        Err(refusal) => {
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

/// Result of an attempt at a target.
enum AttemptResult {
    Response(Response<ResponseBody>),
    NextStep(RetryStep),
}

/// Failure to read a response, before any of it was relayed.
enum ResponseFailure {
    /// The connection broke.
    ConnectionLost,
    /// The response is invalid, or the deadline passed.
    Failed(AttemptEvent),
    /// The response did not arrive in time; a retry was already taken from the budget.
    TimedOut,
}

impl<D> RequestHandler<D>
where
    D: WireDialect,
{
    fn new(state: &Rc<TrafficState<D>>, context: RequestContext, trace: RequestTrace<D>) -> Self {
        let policy = RetryPolicy::new(context.semantics.call_semantics(), context.deadline)
            .with_max_attempts(context.max_attempts)
            .with_uncounted_retries(MAX_UNCOUNTED_RETRIES);
        Self {
            state: Rc::clone(state),
            context: Rc::new(context),
            trace,
            machine: RetryMachine::new(policy),
            tried: TriedTargets::default(),
            failure_response: None,
        }
    }

    async fn run(mut self) -> Response<ResponseBody> {
        self.state.record_request(&self.context.service);
        if let Some(until) = self.state.blocked_until(&self.context.traits) {
            let remaining = until.since(self.state.clock.now());
            let cause = RefusalCause::SuspectBlocked(remaining);
            return self.refuse(cause, "request crashes targets");
        }
        if !self.is_admitted() {
            let cause = RefusalCause::AtCapacity(self.context.objective);
            return self.refuse(cause, "over capacity");
        }
        let mut step = self.machine.start(self.state.clock.now());
        loop {
            if let RetryStep::Finish(outcome) = step {
                return self.finish(outcome);
            }
            let sent = send_to_target(
                &self.state,
                &self.context,
                &mut self.tried,
                self.context.resume_point,
                &mut self.trace,
            )
            .await;
            let result = match sent {
                SendResult::Response(response) if response.class == ResponseClass::TargetFailed => {
                    self.buffer_failure_response(*response).await
                }
                SendResult::Response(mut response) if self.is_stream(&response) => {
                    match self.read_first_events(&mut response).await {
                        Ok((checker, first)) => return self.start_stream(response, checker, first),
                        Err(failure) => AttemptResult::NextStep(
                            self.handle_response_failure(*response, failure),
                        ),
                    }
                }
                SendResult::Response(response) => self.relay_response(*response).await,
                SendResult::Failed(event) => AttemptResult::NextStep(self.next_step(event, false)),
                SendResult::TimedOut => {
                    AttemptResult::NextStep(self.next_step(AttemptEvent::SendFailed, true))
                }
            };
            match result {
                AttemptResult::Response(response) => return response,
                AttemptResult::NextStep(next_step) => step = next_step,
            }
        }
    }

    /// Returns whether to send the request to a target at all.
    ///
    /// Engines with a prompt cache report their load, so placement alone bounds it.
    fn is_admitted(&mut self) -> bool {
        if self.context.caches_prompts {
            return true;
        }
        let admission = self.state.admission_ratio(&self.context);
        self.trace.admission = Some(admission);
        admission.admits(self.context.seed())
    }

    fn is_stream(&self, response: &TargetResponse<D>) -> bool {
        self.context.semantics.is_stream() && response.head.status.is_success()
    }

    fn next_step(&mut self, event: AttemptEvent, retry_taken: bool) -> RetryStep {
        let mut limiter = || retry_taken || self.state.try_take_retry(&self.context.service);
        self.machine
            .handle(event, self.state.clock.now(), &mut limiter)
    }

    /// Records that reading a response failed before the response to the caller started.
    fn handle_response_failure(
        &mut self,
        mut response: TargetResponse<D>,
        failure: ResponseFailure,
    ) -> RetryStep {
        let guard = &mut response.guard;
        let (event, retry_taken) = match failure {
            ResponseFailure::ConnectionLost => {
                guard.record_connection_loss();
                (AttemptEvent::SendFailed, false)
            }
            ResponseFailure::Failed(event) => {
                guard.record_outcome(SendOutcome::Broken);
                (event, false)
            }
            ResponseFailure::TimedOut => {
                guard.record_outcome(SendOutcome::Slow);
                (AttemptEvent::SendFailed, true)
            }
        };
        self.trace.log_failed_send("answer_lost", "");
        self.state
            .metrics
            .count_send(&self.context.service, "answer_lost");
        self.next_step(event, retry_taken)
    }

    /// Reads a stream up to its first complete event, or to its end.
    async fn read_first_events(
        &mut self,
        response: &mut TargetResponse<D>,
    ) -> Result<(StreamChecker, Vec<Bytes>), ResponseFailure> {
        let mut checker = StreamChecker::without_terminal_event(self.context.caller.last_event);
        let mut events = Vec::new();
        let mut read_bytes = 0;
        let mut timeout_at = self.read_timeout();
        loop {
            let deadline = self.context.deadline;
            match read_body_chunk(&self.state, &mut response.body, timeout_at, deadline).await {
                BodyRead::Chunk(chunk) => {
                    read_bytes += chunk.len();
                    let result = checker.push(chunk, &mut events);
                    if checker.data_events() > 0 {
                        return Ok((checker, events));
                    }
                    result.map_err(|_| ResponseFailure::Failed(AttemptEvent::BadAnswer))?;
                    if read_bytes > MAX_BUFFERED_RESPONSE_BYTES {
                        return Err(ResponseFailure::Failed(AttemptEvent::BadAnswer));
                    }
                }
                BodyRead::End if is_close_delimited(&response.head.headers) => {
                    return Err(ResponseFailure::ConnectionLost);
                }
                BodyRead::End => {
                    let result = checker.finish();
                    return result
                        .map(|()| (checker, events))
                        .map_err(|_| ResponseFailure::ConnectionLost);
                }
                BodyRead::Interrupted(_) => return Err(ResponseFailure::ConnectionLost),
                BodyRead::DeadlinePassed => {
                    return Err(ResponseFailure::Failed(AttemptEvent::DeadlinePassed));
                }
                BodyRead::TimedOut => {
                    timeout_at = None;
                    self.check_read_timeout()?;
                }
            }
        }
    }

    /// Returns the time until which a target may take to complete its response, or its first event,
    /// before the request is retried, if it can be.
    fn read_timeout(&self) -> Option<MilliTime> {
        let may_retry = self.context.semantics.call_semantics() == CallSemantics::Idempotent
            && (self.tried.0.len() as u32) < self.context.max_attempts;
        let timeout = self.state.response_timeout(&self.context);
        may_retry.then(|| self.state.clock.now() + timeout)
    }

    /// Fails if the budget has a retry left for a response that did not arrive in time.
    fn check_read_timeout(&self) -> Result<(), ResponseFailure> {
        if !self.state.try_take_retry(&self.context.service) {
            return Ok(());
        }
        Err(ResponseFailure::TimedOut)
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
        let (chunk_sender, chunks) = mpsc::channel(STREAM_BUFFER_CHUNKS);
        let relayed = caller_response(&response.head, ResponseBody::stream(chunks));
        let relay = StreamRelay {
            state: self.state,
            context: self.context,
            machine: self.machine,
            checker,
            tried: self.tried,
            trace: self.trace,
            response,
            chunk_sender,
        };
        tokio::task::spawn_local(relay.run(first));
        relayed
    }

    /// Reads a response completely and relays it.
    async fn relay_response(&mut self, mut response: TargetResponse<D>) -> AttemptResult {
        let body = match self.read_full_body(&mut response).await {
            Ok(body) => body,
            Err(failure) => {
                return AttemptResult::NextStep(self.handle_response_failure(response, failure));
            }
        };
        response.guard.record_completion();
        let elapsed = response.guard.elapsed();
        self.state
            .record_response_time(&self.context.route, elapsed);
        self.state.metrics.count_send(&self.context.service, "good");
        let relayed = caller_response(&response.head, ResponseBody::full(body));
        self.release_connection(response);
        self.trace
            .set_outcome("answered", "", relayed.status().as_u16());
        AttemptResult::Response(relayed)
    }

    /// Buffers a failure response of a target and returns the next step, which may be a retry.
    async fn buffer_failure_response(&mut self, mut response: TargetResponse<D>) -> AttemptResult {
        let body = match self.read_full_body(&mut response).await {
            Ok(body) => body,
            Err(failure) => {
                return AttemptResult::NextStep(self.handle_response_failure(response, failure));
            }
        };
        response.guard.record_outcome(SendOutcome::Failed);
        self.state
            .metrics
            .count_send(&self.context.service, "target_failed");
        self.trace
            .log_failed_send("target_failed", response.head.status.as_str());
        self.failure_response = Some(caller_response(&response.head, ResponseBody::full(body)));
        self.release_connection(response);
        AttemptResult::NextStep(self.next_step(AttemptEvent::Refused { not_run: false }, false))
    }

    async fn read_full_body(
        &mut self,
        response: &mut TargetResponse<D>,
    ) -> Result<Bytes, ResponseFailure> {
        let mut buffer = BytesMut::new();
        let mut timeout_at = self.read_timeout();
        loop {
            let deadline = self.context.deadline;
            match read_body_chunk(&self.state, &mut response.body, timeout_at, deadline).await {
                BodyRead::Chunk(chunk)
                    if buffer.len() + chunk.len() <= MAX_BUFFERED_RESPONSE_BYTES =>
                {
                    buffer.extend_from_slice(&chunk);
                }
                BodyRead::Chunk(_) => {
                    return Err(ResponseFailure::Failed(AttemptEvent::BadAnswer));
                }
                BodyRead::End => return Ok(buffer.freeze()),
                BodyRead::DeadlinePassed => {
                    return Err(ResponseFailure::Failed(AttemptEvent::DeadlinePassed));
                }
                BodyRead::Interrupted(_) => return Err(ResponseFailure::ConnectionLost),
                BodyRead::TimedOut => {
                    timeout_at = None;
                    self.check_read_timeout()?;
                }
            }
        }
    }

    /// Returns the connection to the pool, if it can be reused.
    fn release_connection(&self, response: TargetResponse<D>) {
        let TargetResponse {
            connection,
            guard,
            head,
            ..
        } = response;
        if let Some(keep_alive) = reuse_timeout(&head.headers) {
            let now = self.state.clock.now();
            let mut pool = self.state.idle_connections.borrow_mut();
            pool.put(guard.key(), connection, keep_alive, now);
        }
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
                let is_busy = reason == NotRunReason::TargetRefused || self.has_available_target();
                let cause = if is_busy {
                    RefusalCause::AtCapacity(self.context.objective)
                } else {
                    RefusalCause::NoTarget
                };
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

    fn has_available_target(&self) -> bool {
        let registry = self.state.registry.borrow();
        registry.has_available_target(&self.context.service)
    }
}

/// Builds the response to the caller from the head of a target's response.
fn caller_response(head: &response::Parts, body: ResponseBody) -> Response<ResponseBody> {
    let mut headers: HeaderMap = head.headers.clone();
    remove_hop_by_hop_headers(&mut headers);
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = headers;
    response
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
