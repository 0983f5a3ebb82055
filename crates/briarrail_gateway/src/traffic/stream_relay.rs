//! Relays the events of a stream, and resumes it at another target if it is interrupted.

use std::rc::Rc;

use briarrail_dispatch::{RouteSemantics, SendOutcome};
use briarrail_model::{MilliDuration, MilliTime};
use briarrail_outcome::{AttemptEvent, RequestOutcome, RetryMachine, RetryStep, StreamChecker};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::chunk_sender::ChunkSender;
use super::request_context::RequestContext;
use super::request_trace::RequestTrace;
use super::response_body::StreamCompletion;
use super::response_class::is_close_delimited;
use super::stream_continuation::StreamContinuation;
use super::stream_head::StreamHead;
use super::stream_origin::{OriginCall, ResumePoint};
use super::stream_progress::StreamProgress;
use super::stream_transfer::{StreamTransfer, TransferEnd, check_continuation};
use super::target_response::TargetResponse;
use super::target_send::{SendResult, send_to_target};
use super::traffic_state::TrafficState;
use super::tried_targets::{TargetScope, TriedTargets};
use crate::WireDialect;

/// Minimum gap between events after which a resumable stream is resumed at another target.
const MIN_GAP_TIMEOUT: MilliDuration = MilliDuration::from_millis(1_000);
/// That gap as a multiple of the route's latency objective for the gap.
const GAP_TIMEOUT_FACTOR: u64 = 2;

/// Result of reading from a body.
pub(crate) enum BodyRead {
    Chunk(Bytes),
    /// The body is complete.
    End,
    /// The body was interrupted; contains the error text.
    Interrupted(String),
    /// The deadline of the request passed.
    DeadlinePassed,
}

/// Reads the next chunk of a body, until the deadline.
pub(crate) async fn read_body_chunk<D>(
    state: &Rc<TrafficState<D>>,
    body: &mut Incoming,
    deadline: MilliTime,
) -> BodyRead {
    // A timeout around a read that is always ready would never expire.
    if state.clock.now() >= deadline {
        return BodyRead::DeadlinePassed;
    }
    let frame = tokio::time::timeout_at(state.clock.instant(deadline), body.frame()).await;
    match frame {
        Ok(Some(Ok(frame))) => match frame.into_data() {
            Ok(chunk) => BodyRead::Chunk(chunk),
            // Trailers are ignored.
            Err(_) => BodyRead::Chunk(Bytes::new()),
        },
        Ok(Some(Err(error))) => BodyRead::Interrupted(error.to_string()),
        Ok(None) => BodyRead::End,
        Err(_) => BodyRead::DeadlinePassed,
    }
}

/// Relays a stream from targets to a caller.
pub(crate) struct StreamRelay<D> {
    pub(crate) state: Rc<TrafficState<D>>,
    pub(crate) context: Rc<RequestContext>,
    pub(crate) machine: RetryMachine,
    pub(crate) checker: StreamChecker,
    pub(crate) tried: TriedTargets,
    pub(crate) trace: RequestTrace<D>,
    pub(crate) response: Box<TargetResponse<D>>,
    /// Head of the response that began the stream.
    pub(crate) stream_head: StreamHead,
    pub(crate) chunk_sender: ChunkSender,
    pub(crate) completion: StreamCompletion,
}

/// Why relaying from one target ended.
enum RelayEnd<D> {
    Complete,
    /// The stream was interrupted; contains the cause and the error text.
    Interrupted(&'static str, String),
    /// The target was silent, and another one continues the stream.
    Moved(Box<StreamContinuation<D>>),
    /// The target was left while another one had the request, which failed there.
    MoveFailed(RetryStep),
    DeadlinePassed,
    CallerDisconnected,
}

impl<D> From<TransferEnd<D>> for RelayEnd<D> {
    fn from(end: TransferEnd<D>) -> Self {
        match end {
            TransferEnd::Moved(continuation) => Self::Moved(continuation),
            TransferEnd::Failed(step) => Self::MoveFailed(step),
        }
    }
}

impl<D> StreamRelay<D>
where
    D: WireDialect,
{
    /// Relays until the stream is complete or can't be resumed, or the caller disconnects.
    ///
    /// `first` contains the events that were already read.
    pub(crate) async fn run(mut self, first: Vec<Bytes>) {
        for chunk in first {
            if self.chunk_sender.send(chunk).await.is_err() {
                return;
            }
        }
        loop {
            let chunk_sender = self.chunk_sender.clone();
            let end = tokio::select! {
                end = self.relay_from_target() => end,
                () = chunk_sender.closed() => RelayEnd::CallerDisconnected,
            };
            self.machine.leave_silent_target();
            let step = match end {
                RelayEnd::Complete => return self.finish(),
                RelayEnd::CallerDisconnected => {
                    self.response.guard.ignore_outcome();
                    return;
                }
                RelayEnd::Moved(continuation) => {
                    if self.move_to(*continuation).await {
                        continue;
                    }
                    self.response.guard.ignore_outcome();
                    return;
                }
                RelayEnd::MoveFailed(step) => step,
                RelayEnd::DeadlinePassed => self.next_step(AttemptEvent::DeadlinePassed, false),
                RelayEnd::Interrupted(cause, detail) => {
                    self.response.guard.record_connection_loss();
                    let event = self.record_interruption(cause, &detail);
                    self.next_step(event, false)
                }
            };
            if !self.resume(step).await {
                return self.abort();
            }
        }
    }

    /// Relays events from the current target; if it is silent, looks for another one meanwhile.
    async fn relay_from_target(&mut self) -> RelayEnd<D> {
        let is_resumable = self.context.semantics == RouteSemantics::ResumableStream;
        let resume_at = self.checker.resume_offset().filter(|_| is_resumable);
        let progress = StreamProgress::new(resume_at, self.state.clock.now());
        let target_id = self.trace.target_id.clone();
        let target_knowledge = self.trace.target_knowledge;
        let max_gap =
            MilliDuration::from_millis(self.context.event_gap.as_millis() * GAP_TIMEOUT_FACTOR);
        let mut relayed_events = 0;
        let release = self.response.release;
        let transfer = StreamTransfer {
            state: &self.state,
            context: &self.context,
            machine: &mut self.machine,
            tried: &mut self.tried,
            trace: &mut self.trace,
            progress: &progress,
            silent_target: self.response.guard.key(),
            release,
            stream_head: &self.stream_head,
            max_gap: max_gap.max(MIN_GAP_TIMEOUT),
        };
        let mut transfer = Box::pin(transfer.run());
        let relay = EventRelay {
            state: &self.state,
            deadline: self.context.deadline,
            response: &mut self.response,
            checker: &mut self.checker,
            chunk_sender: &self.chunk_sender,
            progress: &progress,
            events: &mut relayed_events,
        };
        let mut relay = Box::pin(relay.run());
        let end = tokio::select! {
            biased;
            () = progress.left() => None,
            end = relay.as_mut() => Some(end),
            end = transfer.as_mut(), if is_resumable => Some(end.into()),
        };
        drop(relay);
        let guard = &mut self.response.guard;
        let is_interrupted = matches!(end, Some(RelayEnd::Interrupted(..)));
        let end = match end {
            Some(end) if !is_interrupted || !progress.is_sent() => {
                drop(transfer);
                if let Some(cancelled) = progress.take_cancelled() {
                    self.trace.send_log().record_failure("withdrawn", &"");
                    self.machine.withdraw_attempt();
                    self.tried.record_withdrawn(cancelled);
                } else if is_interrupted {
                    self.machine.keep_silent_target();
                }
                end
            }
            // Another target has the request already, so its answer decides.
            _ => {
                progress.leave();
                self.response.connection.close();
                if is_interrupted {
                    guard.record_connection_loss();
                }
                transfer.await.into()
            }
        };
        if matches!(end, RelayEnd::Moved(_) | RelayEnd::MoveFailed(_)) {
            let cause = if is_interrupted {
                "body_broke"
            } else {
                "silent"
            };
            self.state.metrics.count_send(&self.context.service, cause);
            if !is_interrupted {
                guard.record_outcome(SendOutcome::Broken);
            }
        } else {
            self.trace.return_to(target_id, target_knowledge);
        }
        self.trace.events += relayed_events;
        end
    }

    /// Records an interrupted stream and returns the event for the retry machine.
    fn record_interruption(&mut self, cause: &'static str, detail: &str) -> AttemptEvent {
        self.trace.log_failed_send(cause, detail);
        self.state.metrics.count_send(&self.context.service, cause);
        let is_resumable = self.context.semantics == RouteSemantics::ResumableStream;
        AttemptEvent::BodyBroken {
            resume_at: self.checker.resume_offset().filter(|_| is_resumable),
        }
    }

    fn next_step(&mut self, event: AttemptEvent, retry_taken: bool) -> RetryStep {
        let mut limiter = || retry_taken || self.state.try_take_retry(&self.context.service);
        self.machine
            .handle(event, self.state.clock.now(), &mut limiter)
    }

    /// Performs steps until a target continues the stream; returns `false` if none does.
    async fn resume(&mut self, mut step: RetryStep) -> bool {
        loop {
            let RetryStep::Resume { offset, .. } = step else {
                return false;
            };
            let resume_point = ResumePoint {
                last_event: offset.saturating_sub(1),
                release: self.response.release,
            };
            self.tried.set_scope(TargetScope {
                is_limited_to_returns: self.machine.is_return(),
                includes_left: true,
            });
            let send = send_to_target(
                &self.state,
                &self.context,
                &mut self.tried,
                Some(resume_point),
                &mut self.trace,
            );
            let chunk_sender = self.chunk_sender.clone();
            let result = tokio::select! {
                result = send => result,
                () = chunk_sender.closed() => return false,
            };
            let (event, retry_taken) = match result {
                SendResult::Response(mut response) => {
                    match check_continuation(&response, &self.stream_head) {
                        Ok(()) => {
                            self.checker.begin_continuation();
                            self.continue_with(response);
                            return true;
                        }
                        Err(reason) => {
                            let log = self.trace.send_log();
                            log.record_failure("not_continued", &reason);
                            response.guard.record_outcome(SendOutcome::Failed);
                            (AttemptEvent::Refused { not_run: false }, false)
                        }
                    }
                }
                SendResult::Failed(event) => (event, false),
                SendResult::TimedOut(silent) => {
                    // No other target has the request yet.
                    self.machine.allow_return();
                    self.tried.record_left(silent);
                    (AttemptEvent::SendFailed, true)
                }
            };
            step = self.next_step(event, retry_taken);
        }
    }

    /// Takes the stream up from the target to which it moved; returns `false` if the caller
    /// disconnects.
    async fn move_to(&mut self, continuation: StreamContinuation<D>) -> bool {
        let StreamContinuation {
            response,
            checker,
            events,
        } = continuation;
        self.checker = checker;
        self.continue_with(response);
        if !self.checker.awaits_continuation() {
            self.response.guard.record_event();
        }
        for event in events {
            self.trace.events += 1;
            if self.chunk_sender.send(event).await.is_err() {
                return false;
            }
        }
        true
    }

    /// Takes the stream up from another target.
    fn continue_with(&mut self, response: Box<TargetResponse<D>>) {
        self.response = response;
        let event = AttemptEvent::HeadReceived;
        let now = self.state.clock.now();
        self.machine.handle(event, now, &mut || false);
    }

    fn finish(self) {
        self.completion.record();
        let Self {
            state,
            context,
            mut trace,
            mut response,
            ..
        } = self;
        response.guard.record_completion();
        state.send_origin_call(OriginCall::Ended(context.stream_key()));
        state.metrics.count_send(&context.service, "good");
        let status = response.head.status.as_u16();
        response.release_connection(&state);
        trace.set_outcome("answered", "", status);
    }

    /// Ends the stream without its completion, which closes the caller's connection, so that the caller
    /// does not take the stream for complete.
    fn abort(mut self) {
        let reason = match self.machine.outcome() {
            Some(RequestOutcome::Unknown(reason)) => unknown_reason_text(reason),
            _ => "not resumed",
        };
        let status = self.response.head.status.as_u16();
        self.trace.set_outcome("cut", reason, status);
    }
}

/// Relays the events of one target.
struct EventRelay<'a, D> {
    state: &'a Rc<TrafficState<D>>,
    deadline: MilliTime,
    response: &'a mut TargetResponse<D>,
    checker: &'a mut StreamChecker,
    chunk_sender: &'a ChunkSender,
    progress: &'a StreamProgress,
    /// Number of events that were relayed.
    events: &'a mut u64,
}

impl<D> EventRelay<'_, D> {
    async fn run(self) -> RelayEnd<D> {
        // An invalid event may have arrived beside the first one.
        if let Some(error) = self.checker.error() {
            return RelayEnd::Interrupted("bad_stream", error.to_string());
        }
        loop {
            let read = read_body_chunk(self.state, &mut self.response.body, self.deadline);
            match read.await {
                BodyRead::Chunk(chunk) => {
                    let mut events = Vec::new();
                    let events_before = self.checker.data_events();
                    let result = self.checker.push(chunk, &mut events);
                    let has_event = self.checker.data_events() > events_before;
                    if has_event {
                        self.progress.record_event(self.checker.resume_offset());
                        self.response.guard.record_event();
                    }
                    for event in events {
                        *self.events += 1;
                        if self.chunk_sender.send(event).await.is_err() {
                            return RelayEnd::CallerDisconnected;
                        }
                    }
                    if has_event {
                        self.progress.start_wait(self.state.clock.now());
                    }
                    if let Err(error) = result {
                        return RelayEnd::Interrupted("bad_stream", error.to_string());
                    }
                }
                BodyRead::End if self.ended_before_event() => {
                    let detail = "the connection ended before an event".to_owned();
                    return RelayEnd::Interrupted("cut_event", detail);
                }
                // The caller can take the stream up itself, but not if it looks complete.
                BodyRead::End if self.checker.awaits_continuation() => {
                    let detail = "the body ended before an event".to_owned();
                    return RelayEnd::Interrupted("not_continued", detail);
                }
                BodyRead::End => match self.checker.finish() {
                    Ok(()) => return RelayEnd::Complete,
                    Err(error) => return RelayEnd::Interrupted("cut_event", error.to_string()),
                },
                BodyRead::Interrupted(detail) => {
                    return RelayEnd::Interrupted("body_broke", detail);
                }
                BodyRead::DeadlinePassed => return RelayEnd::DeadlinePassed,
            }
        }
    }

    /// Returns whether the body is complete only by the end of its connection, and the target sent
    /// no event.
    fn ended_before_event(&self) -> bool {
        !self.response.guard.has_event() && is_close_delimited(&self.response.head.headers)
    }
}

/// Returns the text of a reason for logs and responses.
pub(crate) const fn unknown_reason_text(reason: briarrail_outcome::UnknownReason) -> &'static str {
    use briarrail_outcome::UnknownReason as Reason;
    match reason {
        Reason::ConnectionLost => "connection lost",
        Reason::DeadlinePassed => "deadline passed",
        Reason::BadAnswer => "bad answer",
        Reason::TargetFailed => "target failed",
        Reason::EarlierCall => "earlier call",
        _ => "unknown",
    }
}
