//! One attempt, up to the point from which its response is relayed.

use std::cell::Cell;
use std::rc::Rc;

use briarrail_dispatch::{SendOutcome, TargetKey};
use briarrail_model::{MilliDuration, MilliTime};
use briarrail_outcome::{AttemptEvent, StreamChecker};
use bytes::Bytes;
use tokio::task::JoinHandle;

use super::answer_buffer::AnswerBuffer;
use super::body_relay::BegunBody;
use super::request_context::RequestContext;
use super::response_class::{ResponseClass, is_close_delimited, is_empty_body_lost};
use super::send_log::SendLog;
use super::stream_head::StreamHead;
use super::stream_relay::{BodyRead, read_body_chunk};
use super::target_response::TargetResponse;
use super::target_send::{PreparedSend, SendResult, send_prepared};
use super::traffic_state::TrafficState;
use crate::WireDialect;

/// Maximum size of a response that is not a stream, and of the part of a stream before its first
/// event with data. Up to this size, a response that is not a stream is read completely before it is
/// relayed, so that an interrupted one can be retried or reported as a failure.
pub(super) const MAX_BUFFERED_RESPONSE_BYTES: usize = 256 << 10;

/// What a target answered to an attempt.
#[derive(Debug)]
pub(crate) enum FirstAnswer<D> {
    /// A stream, and its events up to the first one with data.
    Stream(Box<TargetResponse<D>>, StreamChecker, Vec<Bytes>),
    /// A complete response, which may be a failure of the target.
    Complete(Box<TargetResponse<D>>, Bytes),
    /// A response too large to be read before it is relayed, and what was read of its body.
    Begun(Box<TargetResponse<D>>, BegunBody),
    /// No usable answer; already logged.
    Failed(AttemptEvent),
}

/// What was read of a response before it is relayed.
enum FirstPart {
    /// The events of a stream up to the first one with data.
    Events(StreamChecker, Vec<Bytes>),
    Whole(Bytes),
    /// The start of a body that is too large to be held.
    Begun(BegunBody),
}

/// Failure to read a response, before any of it was relayed.
enum ResponseFailure {
    /// The connection broke.
    ConnectionLost,
    /// The response is invalid, or the deadline passed.
    Failed(AttemptEvent),
}

/// An attempt in flight, which is cancelled on drop.
#[derive(Debug)]
pub(crate) struct PendingAnswer<D> {
    task: JoinHandle<FirstAnswer<D>>,
    target: TargetKey,
    log: Rc<SendLog<D>>,
    /// Time since which the head, and then the rest, of the response is waited for.
    waiting_since: Rc<Cell<MilliTime>>,
    silence_flag: Rc<Cell<bool>>,
}

impl<D> PendingAnswer<D>
where
    D: WireDialect,
{
    /// Starts to send a request.
    pub(crate) fn start(
        state: &Rc<TrafficState<D>>,
        context: &Rc<RequestContext>,
        log: SendLog<D>,
        prepared: PreparedSend<D>,
    ) -> Self {
        let waiting_since = Rc::new(Cell::new(state.clock.now()));
        let silence_flag = prepared.silence_flag();
        let target = prepared.target();
        let log = Rc::new(log);
        let attempt = AnswerAttempt {
            state: Rc::clone(state),
            context: Rc::clone(context),
            log: Rc::clone(&log),
            waiting_since: Rc::clone(&waiting_since),
        };
        Self {
            task: tokio::task::spawn_local(attempt.run(prepared)),
            target,
            log,
            waiting_since,
            silence_flag,
        }
    }

    pub(crate) const fn target(&self) -> TargetKey {
        self.target
    }

    /// Returns the time since which the head, and then the rest, of the response is waited for.
    pub(crate) fn waiting_since(&self) -> MilliTime {
        self.waiting_since.get()
    }

    /// Returns the time at which the target is silent for `timeout`.
    pub(crate) fn silent_at(&self, timeout: MilliDuration) -> MilliTime {
        self.waiting_since.get() + timeout
    }

    /// Waits for the answer; can be cancelled and called again until it returns.
    pub(crate) async fn answer(&mut self) -> FirstAnswer<D> {
        (&mut self.task).await.unwrap_or_else(|error| {
            tracing::error!(event = "attempt_failed", %error);
            FirstAnswer::Failed(AttemptEvent::SendFailed)
        })
    }

    /// Gives the attempt up because its target is silent, if it has not ended.
    pub(crate) fn leave(self) {
        if !self.task.is_finished() {
            self.silence_flag.set(true);
            self.log.log_failure("no_answer_in_time", "");
            self.log.count("silent");
        }
    }
}

impl<D> Drop for PendingAnswer<D> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Sends a request and reads the first part of the response.
#[derive(Debug)]
struct AnswerAttempt<D> {
    state: Rc<TrafficState<D>>,
    context: Rc<RequestContext>,
    log: Rc<SendLog<D>>,
    waiting_since: Rc<Cell<MilliTime>>,
}

impl<D> AnswerAttempt<D>
where
    D: WireDialect,
{
    /// Sends the request and reads the response until it can be relayed, or the deadline.
    async fn run(self, prepared: PreparedSend<D>) -> FirstAnswer<D> {
        let sent = send_prepared(&self.state, &self.context, None, &self.log, prepared);
        let mut response = match sent.await {
            SendResult::Response(response) => response,
            SendResult::Failed(event) => return FirstAnswer::Failed(event),
            SendResult::TimedOut(_) => return FirstAnswer::Failed(AttemptEvent::SendFailed),
        };
        self.waiting_since.set(self.state.clock.now());
        let is_stream = self.context.semantics.is_stream()
            && response.head.status.is_success()
            && response.class == ResponseClass::Relay;
        if is_stream
            && self.context.caller.last_event.is_some()
            && let Err(reason) = StreamHead::check_take_up(&response.head)
        {
            self.log.record_failure("not_continued", &reason);
            response.guard.record_outcome(SendOutcome::Failed);
            return FirstAnswer::Failed(AttemptEvent::BadAnswer);
        }
        let result = if is_stream {
            let events = self.read_first_events(&mut response).await;
            events.map(|(checker, events)| FirstPart::Events(checker, events))
        } else {
            self.read_full_body(&mut response).await
        };
        match result {
            Ok(FirstPart::Events(checker, events)) => {
                FirstAnswer::Stream(response, checker, events)
            }
            Ok(FirstPart::Whole(body)) => FirstAnswer::Complete(response, body),
            Ok(FirstPart::Begun(begun)) => FirstAnswer::Begun(response, begun),
            Err(failure) => self.fail(&mut response, failure),
        }
    }

    fn fail(&self, response: &mut TargetResponse<D>, failure: ResponseFailure) -> FirstAnswer<D> {
        self.log.record_failure("answer_lost", &"");
        match failure {
            ResponseFailure::ConnectionLost => {
                response.guard.record_connection_loss();
                FirstAnswer::Failed(AttemptEvent::SendFailed)
            }
            ResponseFailure::Failed(event) => {
                response.guard.record_outcome(SendOutcome::Broken);
                FirstAnswer::Failed(event)
            }
        }
    }

    /// Reads a stream up to its first complete event, or to its end.
    async fn read_first_events(
        &self,
        response: &mut TargetResponse<D>,
    ) -> Result<(StreamChecker, Vec<Bytes>), ResponseFailure> {
        let last_event = self.context.caller.last_event;
        let mut checker = StreamChecker::without_terminal_event(last_event);
        if last_event.is_some() {
            checker.begin_continuation();
        }
        let mut events = Vec::new();
        let mut read_bytes = 0;
        loop {
            match self.read_chunk(response).await {
                BodyRead::Chunk(chunk) => {
                    read_bytes += chunk.len();
                    let result = checker.push(chunk, &mut events);
                    // The checker reports an error after that event again.
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
                    // A caller may have all events of its stream but the end.
                    if checker.awaits_continuation() {
                        checker = StreamChecker::without_terminal_event(last_event);
                    }
                    return result
                        .map(|()| (checker, events))
                        .map_err(|_| ResponseFailure::ConnectionLost);
                }
                BodyRead::Interrupted(_) => return Err(ResponseFailure::ConnectionLost),
                BodyRead::DeadlinePassed => {
                    return Err(ResponseFailure::Failed(AttemptEvent::DeadlinePassed));
                }
            }
        }
    }

    /// Reads the whole body, unless it is too large to be held and can be relayed as it arrives.
    async fn read_full_body(
        &self,
        response: &mut TargetResponse<D>,
    ) -> Result<FirstPart, ResponseFailure> {
        let mut buffer = AnswerBuffer::new(&self.context.hold, MAX_BUFFERED_RESPONSE_BYTES);
        loop {
            match self.read_chunk(response).await {
                BodyRead::Chunk(chunk) => {
                    if buffer.try_append(&chunk) {
                        continue;
                    }
                    if may_relay_in_pieces(response) {
                        let start = buffer.finish();
                        return Ok(FirstPart::Begun(BegunBody { start, next: chunk }));
                    }
                    return Err(ResponseFailure::Failed(AttemptEvent::BadAnswer));
                }
                BodyRead::End
                    if buffer.is_empty()
                        && is_empty_body_lost(&self.context.method, &response.head) =>
                {
                    return Err(ResponseFailure::ConnectionLost);
                }
                BodyRead::End => return Ok(FirstPart::Whole(buffer.finish())),
                BodyRead::DeadlinePassed => {
                    return Err(ResponseFailure::Failed(AttemptEvent::DeadlinePassed));
                }
                BodyRead::Interrupted(_) => return Err(ResponseFailure::ConnectionLost),
            }
        }
    }

    async fn read_chunk(&self, response: &mut TargetResponse<D>) -> BodyRead {
        read_body_chunk(&self.state, &mut response.body, self.context.deadline).await
    }
}

/// Returns whether a body may be relayed before it is complete.
///
/// If a body ends only with its connection, its caller could not tell that it was cut.
fn may_relay_in_pieces<D>(response: &TargetResponse<D>) -> bool {
    response.class == ResponseClass::Relay && !is_close_delimited(&response.head.headers)
}
