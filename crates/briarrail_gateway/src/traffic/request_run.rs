//! The sends of one request, until its answer begins.

use std::rc::Rc;

use briarrail_dispatch::{RefusalCause, SendOutcome, retry_after};
use briarrail_model::CallSemantics;
use briarrail_outcome::{
    AttemptEvent, NotRunReason, RequestOutcome, RetryMachine, RetryPolicy, RetryStep,
    StreamChecker, UnknownReason,
};
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response, StatusCode, response};
use hyper::body::Incoming;
use tokio::sync::mpsc;

use super::answer_head::{HeadVerdict, reuse_terms};
use super::gateway_reply::gateway_reply;
use super::relay_body::RelayBody;
use super::request_context::{RequestContext, strip_connection_headers};
use super::request_intake::take_request;
use super::request_trace::RequestTrace;
use super::stream_pump::{BodyPart, StreamPump, next_part, unknown_text};
use super::target_send::{SendEnd, SentRequest, TriedTargets, send_to_target};
use super::traffic_state::TrafficState;
use crate::WireDialect;

/// Moves after a target that provably did not run the request.
const FREE_MOVES: u32 = 3;
/// Answers up to this size are read whole before they are relayed, so that a broken one can be
/// repeated or told as a failure.
const WHOLE_ANSWER_BYTES: usize = 256 << 10;
/// Chunks of a stream that wait for a slow caller.
const STREAM_CHUNKS: usize = 8;

/// Serves one request.
pub(crate) async fn serve_request<D>(
    state: &Rc<TrafficState<D>>,
    request: Request<Incoming>,
) -> Response<RelayBody>
where
    D: WireDialect,
{
    let arrived_at = state.clock.now();
    let mut trace = RequestTrace::new(state, arrived_at);
    let (head, body) = request.into_parts();
    match take_request(state, &head, body, arrived_at, &mut trace).await {
        Ok(context) => {
            let run = RequestRun::new(state, context, trace);
            run.run().await
        }
        Err(refusal) => {
            trace.end(refusal.outcome(), refusal.reason, refusal.status.as_u16());
            refusal.reply(state, trace.request_id())
        }
    }
}

/// The sends of one request until its answer begins.
struct RequestRun<D> {
    state: Rc<TrafficState<D>>,
    context: Rc<RequestContext>,
    trace: RequestTrace<D>,
    machine: RetryMachine,
    tried: TriedTargets,
    /// A target's own failure, relayed when no other target does better.
    target_failure: Option<Response<RelayBody>>,
}

/// What a send led to.
enum RunStep {
    Answer(Response<RelayBody>),
    Next(RetryStep),
}

/// Why an answer could not be relayed, and whether a repeat was already taken out of the budget.
struct LostAnswer {
    event: AttemptEvent,
    prepaid: bool,
}

impl<D> RequestRun<D>
where
    D: WireDialect,
{
    fn new(state: &Rc<TrafficState<D>>, context: RequestContext, trace: RequestTrace<D>) -> Self {
        let plan = RetryPolicy::new(context.repeat.call_semantics(), context.ends_at)
            .with_max_attempts(context.max_attempts)
            .with_uncounted_retries(FREE_MOVES);
        Self {
            state: Rc::clone(state),
            context: Rc::new(context),
            trace,
            machine: RetryMachine::new(plan),
            tried: TriedTargets::default(),
            target_failure: None,
        }
    }

    async fn run(mut self) -> Response<RelayBody> {
        self.state.record_first_send(&self.context.service);
        let mut step = self.machine.start(self.state.clock.now());
        loop {
            if let RetryStep::Finish(outcome) = step {
                return self.finish(outcome);
            }
            let end = send_to_target(
                &self.state,
                &self.context,
                &mut self.tried,
                self.context.caller.last_event,
                &mut self.trace,
            )
            .await;
            let taken = match end {
                SendEnd::Answer(sent) if sent.verdict == HeadVerdict::TargetFailed => {
                    self.take_failure(*sent).await
                }
                SendEnd::Answer(mut sent) if self.is_stream(&sent) => {
                    match self.read_first_events(&mut sent).await {
                        Ok((checker, first)) => return self.start_stream(sent, checker, first),
                        Err(lost) => RunStep::Next(self.lose(*sent, lost)),
                    }
                }
                SendEnd::Answer(sent) => self.take_answer(*sent).await,
                SendEnd::Failed(event) => RunStep::Next(self.decide(event, false)),
                SendEnd::Silent => RunStep::Next(self.decide(AttemptEvent::SendFailed, true)),
            };
            match taken {
                RunStep::Answer(response) => return response,
                RunStep::Next(next) => step = next,
            }
        }
    }

    fn is_stream(&self, sent: &SentRequest<D>) -> bool {
        self.context.repeat.is_stream() && sent.head.status.is_success()
    }

    fn decide(&mut self, event: AttemptEvent, prepaid: bool) -> RetryStep {
        let mut allowance = || prepaid || self.state.take_repeat(&self.context.service);
        self.machine
            .handle(event, self.state.clock.now(), &mut allowance)
    }

    /// Records that an answer was lost before it began towards the caller.
    fn lose(&mut self, mut sent: SentRequest<D>, lost: LostAnswer) -> RetryStep {
        let outcome = if lost.prepaid {
            SendOutcome::Slow
        } else {
            SendOutcome::Broken
        };
        sent.guard.record(outcome);
        self.trace.log_failed_send("answer_lost", "");
        self.state
            .metrics
            .count_send(&self.context.service, "answer_lost");
        self.decide(lost.event, lost.prepaid)
    }

    /// Reads a stream up to its first whole event, or to its end.
    async fn read_first_events(
        &mut self,
        sent: &mut SentRequest<D>,
    ) -> Result<(StreamChecker, Vec<Bytes>), LostAnswer> {
        let mut checker = StreamChecker::without_terminal_event(self.context.caller.last_event);
        let mut events = Vec::new();
        let lost = |event| LostAnswer {
            event,
            prepaid: false,
        };
        let is_repeatable = self.machine_may_repeat();
        let patience = self.state.patience(&self.context);
        let hurry = self.state.clock.now() + patience;
        let mut silent_at = is_repeatable.then_some(hurry);
        loop {
            let ends_at = self.context.ends_at;
            match next_part(&self.state, &mut sent.body, silent_at, ends_at).await {
                BodyPart::Chunk(chunk) => {
                    let checked = checker.push(chunk, &mut events);
                    if !events.is_empty() {
                        return Ok((checker, events));
                    }
                    checked.map_err(|_| lost(AttemptEvent::BadAnswer))?;
                }
                BodyPart::End => {
                    let ended = checker.finish();
                    return ended
                        .map(|()| (checker, events))
                        .map_err(|_| lost(AttemptEvent::SendFailed));
                }
                BodyPart::Broken(_) => return Err(lost(AttemptEvent::SendFailed)),
                BodyPart::DeadlinePassed => return Err(lost(AttemptEvent::DeadlinePassed)),
                BodyPart::Silent => {
                    silent_at = None;
                    if self.state.take_repeat(&self.context.service) {
                        return Err(LostAnswer {
                            event: AttemptEvent::SendFailed,
                            prepaid: true,
                        });
                    }
                }
            }
        }
    }

    fn machine_may_repeat(&self) -> bool {
        self.context.repeat.call_semantics() == CallSemantics::Idempotent
            && (self.tried.0.len() as u32) < self.context.max_attempts
    }

    /// Begins the answer towards the caller; a pump relays the rest.
    fn start_stream(
        mut self,
        mut sent: Box<SentRequest<D>>,
        checker: StreamChecker,
        first: Vec<Bytes>,
    ) -> Response<RelayBody> {
        let now = self.state.clock.now();
        let begun = AttemptEvent::HeadReceived;
        self.machine.handle(begun, now, &mut || false);
        sent.guard.record(SendOutcome::Good);
        let took = sent.guard.elapsed();
        self.state.record_answer_time(&self.context.route, took);
        self.trace.note_first_event();
        self.trace.events += first.len() as u64;
        let (output, chunks) = mpsc::channel(STREAM_CHUNKS);
        let response = relayed(&sent.head, RelayBody::stream(chunks));
        let pump = StreamPump {
            state: self.state,
            context: self.context,
            machine: self.machine,
            checker,
            tried: self.tried,
            trace: self.trace,
            sent,
            output,
        };
        tokio::task::spawn_local(pump.run(first));
        response
    }

    /// Reads an answer whole and relays it.
    async fn take_answer(&mut self, mut sent: SentRequest<D>) -> RunStep {
        let body = match self.read_whole(&mut sent).await {
            Ok(body) => body,
            Err(lost) => return RunStep::Next(self.lose(sent, lost)),
        };
        sent.guard.record(SendOutcome::Good);
        let took = sent.guard.elapsed();
        self.state.record_answer_time(&self.context.route, took);
        self.state.metrics.count_send(&self.context.service, "good");
        let response = relayed(&sent.head, RelayBody::whole(body));
        self.keep_link(sent);
        self.trace.end("answered", "", response.status().as_u16());
        RunStep::Answer(response)
    }

    /// Reads a target's own failure and asks whether another target may do better.
    async fn take_failure(&mut self, mut sent: SentRequest<D>) -> RunStep {
        let body = match self.read_whole(&mut sent).await {
            Ok(body) => body,
            Err(lost) => return RunStep::Next(self.lose(sent, lost)),
        };
        sent.guard.record(SendOutcome::Failed);
        self.state
            .metrics
            .count_send(&self.context.service, "target_failed");
        self.trace
            .log_failed_send("target_failed", sent.head.status.as_str());
        self.target_failure = Some(relayed(&sent.head, RelayBody::whole(body)));
        self.keep_link(sent);
        RunStep::Next(self.decide(AttemptEvent::Refused { not_run: false }, false))
    }

    async fn read_whole(&mut self, sent: &mut SentRequest<D>) -> Result<Bytes, LostAnswer> {
        let mut whole = BytesMut::new();
        let lost = |event| LostAnswer {
            event,
            prepaid: false,
        };
        loop {
            let ends_at = self.context.ends_at;
            match next_part(&self.state, &mut sent.body, None, ends_at).await {
                BodyPart::Chunk(chunk) if whole.len() + chunk.len() <= WHOLE_ANSWER_BYTES => {
                    whole.extend_from_slice(&chunk);
                }
                BodyPart::Chunk(_) => return Err(lost(AttemptEvent::BadAnswer)),
                BodyPart::End => return Ok(whole.freeze()),
                BodyPart::DeadlinePassed => return Err(lost(AttemptEvent::DeadlinePassed)),
                BodyPart::Broken(_) | BodyPart::Silent => {
                    return Err(lost(AttemptEvent::SendFailed));
                }
            }
        }
    }

    fn keep_link(&self, sent: SentRequest<D>) {
        let SentRequest {
            link, guard, head, ..
        } = sent;
        if let Some(told_idle) = reuse_terms(&head.headers) {
            let now = self.state.clock.now();
            let mut links = self.state.links.borrow_mut();
            links.put(guard.key(), link, told_idle, now);
        }
    }

    /// Answers a request that no target answered.
    fn finish(mut self, outcome: RequestOutcome) -> Response<RelayBody> {
        let id = self.trace.request_id().clone();
        if let Some(response) = self.target_failure.take() {
            let status = response.status().as_u16();
            self.trace.end("target_failed", "relayed failure", status);
            return response;
        }
        let (status, wait, reason) = match outcome {
            RequestOutcome::NotRun(reason) => {
                let cause = match reason {
                    NotRunReason::TargetRefused => RefusalCause::AtCapacity,
                    _ if self.has_open_target() => RefusalCause::AtCapacity,
                    _ => RefusalCause::NoTarget,
                };
                let wait = retry_after(cause, self.context.seed());
                let text = not_run_text(reason);
                (StatusCode::SERVICE_UNAVAILABLE, Some(wait), text)
            }
            RequestOutcome::Unknown(reason) => {
                let status = match reason {
                    UnknownReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
                    _ => StatusCode::BAD_GATEWAY,
                };
                (status, None, unknown_text(reason))
            }
            RequestOutcome::Answered => (StatusCode::BAD_GATEWAY, None, "answered without answer"),
        };
        let outcome = if wait.is_some() { "not_run" } else { "unknown" };
        self.trace.end(outcome, reason, status.as_u16());
        gateway_reply(&self.state.dialect, status, reason, Some(&id), wait)
    }

    fn has_open_target(&self) -> bool {
        let board = self.state.board.borrow();
        board.has_available_target(&self.context.service)
    }
}

/// Makes the answer to the caller from a target's head.
fn relayed(head: &response::Parts, body: RelayBody) -> Response<RelayBody> {
    let mut headers: HeaderMap = head.headers.clone();
    strip_connection_headers(&mut headers);
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = headers;
    response
}

const fn not_run_text(reason: NotRunReason) -> &'static str {
    match reason {
        NotRunReason::NoTarget => "no target",
        NotRunReason::TargetRefused => "targets refused",
        NotRunReason::Unreachable => "no target reachable",
        NotRunReason::DeadlinePassed => "deadline passed before sending",
        _ => "not run",
    }
}
