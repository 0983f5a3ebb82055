//! Relays the events of a stream, and resumes it at another target when it breaks.

use std::rc::Rc;
use std::time::Duration;

use briarrail_dispatch::{RouteSemantics, SendOutcome};
use briarrail_model::{MilliDuration, MilliTime};
use briarrail_outcome::{AttemptEvent, RequestOutcome, RetryMachine, RetryStep, StreamChecker};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc::Sender;

use super::answer_head::{HeadVerdict, reuse_terms};
use super::relay_body::RelayBroken;
use super::request_context::RequestContext;
use super::request_trace::RequestTrace;
use super::target_send::{SendEnd, SentRequest, TriedTargets, send_to_target};
use super::traffic_state::TrafficState;
use crate::WireDialect;

/// Least pause after which a resumable stream goes on at another target.
const MIN_GAP_LIMIT: MilliDuration = MilliDuration::from_millis(1_000);
/// The pause as a multiple of the longest one that is on time.
const GAP_FACTOR: u64 = 2;

/// What the next part of a body is.
pub(crate) enum BodyPart {
    /// Bytes.
    Chunk(Bytes),
    /// The body is whole.
    End,
    /// The body broke off.
    Broken(String),
    /// Nothing came in time.
    Silent,
    /// The request's time is over.
    DeadlinePassed,
}

/// Reads the next part of a body, until `limit` at most.
pub(crate) async fn next_part<D>(
    state: &Rc<TrafficState<D>>,
    body: &mut Incoming,
    silent_at: Option<MilliTime>,
    ends_at: MilliTime,
) -> BodyPart {
    let limit = silent_at.map_or(ends_at, |at| at.min(ends_at));
    let frame = tokio::time::timeout_at(state.clock.instant(limit), body.frame()).await;
    match frame {
        Ok(Some(Ok(frame))) => match frame.into_data() {
            Ok(chunk) => BodyPart::Chunk(chunk),
            // Trailers are no part of the body.
            Err(_) => BodyPart::Chunk(Bytes::new()),
        },
        Ok(Some(Err(error))) => BodyPart::Broken(error.to_string()),
        Ok(None) => BodyPart::End,
        Err(_) if limit == ends_at => BodyPart::DeadlinePassed,
        Err(_) => BodyPart::Silent,
    }
}

/// A stream that is relayed.
pub(crate) struct StreamPump<D> {
    pub(crate) state: Rc<TrafficState<D>>,
    pub(crate) context: Rc<RequestContext>,
    pub(crate) machine: RetryMachine,
    pub(crate) checker: StreamChecker,
    pub(crate) tried: TriedTargets,
    pub(crate) trace: RequestTrace<D>,
    pub(crate) sent: Box<SentRequest<D>>,
    pub(crate) output: Sender<Result<Bytes, RelayBroken>>,
}

/// Why the relay of one target's part ended.
enum PartEnd {
    Whole,
    Broken(&'static str, String),
    /// A repeat was already taken out of the budget.
    Silent,
    DeadlinePassed,
    CallerLeft,
}

impl<D> StreamPump<D>
where
    D: WireDialect,
{
    /// Relays until the stream is whole, broken for good, or the caller leaves.
    pub(crate) async fn run(mut self, first: Vec<Bytes>) {
        for chunk in first {
            if self.output.send(Ok(chunk)).await.is_err() {
                return;
            }
        }
        loop {
            let output = self.output.clone();
            let end = tokio::select! {
                end = self.relay_part() => end,
                () = output.closed() => PartEnd::CallerLeft,
            };
            let mut prepaid = false;
            let event = match end {
                PartEnd::Whole => return self.finish_whole(),
                PartEnd::CallerLeft => {
                    self.sent.guard.waive();
                    return;
                }
                PartEnd::DeadlinePassed => AttemptEvent::DeadlinePassed,
                PartEnd::Silent => {
                    prepaid = true;
                    self.broken("silent", "")
                }
                PartEnd::Broken(cause, detail) => self.broken(cause, &detail),
            };
            let step = self.decide(event, prepaid);
            if !self.follow(step).await {
                return self.cut().await;
            }
        }
    }

    /// Relays what the present target sends.
    async fn relay_part(&mut self) -> PartEnd {
        let is_resumable = self.context.repeat == RouteSemantics::ResumableStream;
        let gap = MilliDuration::from_millis(self.context.event_gap.as_millis() * GAP_FACTOR);
        let gap = gap.max(MIN_GAP_LIMIT);
        let mut watches_gap = is_resumable;
        loop {
            let silent_at = watches_gap.then(|| self.state.clock.now() + gap);
            let ends_at = self.context.ends_at;
            match next_part(&self.state, &mut self.sent.body, silent_at, ends_at).await {
                BodyPart::Chunk(chunk) => {
                    let mut events = Vec::new();
                    let checked = self.checker.push(chunk, &mut events);
                    for event in events {
                        self.trace.events += 1;
                        if self.output.send(Ok(event)).await.is_err() {
                            return PartEnd::CallerLeft;
                        }
                    }
                    if let Err(fault) = checked {
                        return PartEnd::Broken("bad_stream", fault.to_string());
                    }
                }
                BodyPart::End => match self.checker.finish() {
                    Ok(()) => return PartEnd::Whole,
                    Err(fault) => return PartEnd::Broken("cut_event", fault.to_string()),
                },
                BodyPart::Broken(detail) => return PartEnd::Broken("body_broke", detail),
                BodyPart::DeadlinePassed => return PartEnd::DeadlinePassed,
                BodyPart::Silent if self.state.take_repeat(&self.context.service) => {
                    return PartEnd::Silent;
                }
                BodyPart::Silent => watches_gap = false,
            }
        }
    }

    fn broken(&mut self, cause: &'static str, detail: &str) -> AttemptEvent {
        self.sent.guard.record(SendOutcome::Broken);
        self.trace.log_failed_send(cause, detail);
        self.state.metrics.count_send(&self.context.service, cause);
        let is_resumable = self.context.repeat == RouteSemantics::ResumableStream;
        AttemptEvent::BodyBroken {
            resume_at: self.checker.resume_offset().filter(|_| is_resumable),
        }
    }

    fn decide(&mut self, event: AttemptEvent, prepaid: bool) -> RetryStep {
        let mut allowance = || prepaid || self.state.take_repeat(&self.context.service);
        self.machine
            .handle(event, self.state.clock.now(), &mut allowance)
    }

    /// Carries out steps until another target goes on with the stream; false when none does.
    async fn follow(&mut self, mut step: RetryStep) -> bool {
        loop {
            let RetryStep::Resume { offset, .. } = step else {
                return false;
            };
            self.checker.discard_partial();
            let last_event = offset.checked_sub(1);
            let sending = send_to_target(
                &self.state,
                &self.context,
                &mut self.tried,
                last_event,
                &mut self.trace,
            );
            let output = self.output.clone();
            let end = tokio::select! {
                end = sending => end,
                () = output.closed() => return false,
            };
            let (event, prepaid) = match end {
                SendEnd::Answer(sent) if is_continuation(&sent) => {
                    self.sent = sent;
                    self.machine.handle(
                        AttemptEvent::HeadReceived,
                        self.state.clock.now(),
                        &mut || false,
                    );
                    return true;
                }
                SendEnd::Answer(mut sent) => {
                    sent.guard.record(SendOutcome::Failed);
                    (AttemptEvent::Refused { not_run: false }, false)
                }
                SendEnd::Failed(event) => (event, false),
                SendEnd::Silent => (AttemptEvent::SendFailed, true),
            };
            step = self.decide(event, prepaid);
        }
    }

    fn finish_whole(self) {
        let Self {
            state,
            context,
            mut trace,
            sent,
            ..
        } = self;
        let SentRequest {
            link,
            mut guard,
            head,
            ..
        } = *sent;
        guard.record(SendOutcome::Good);
        state.metrics.count_send(&context.service, "good");
        if let Some(told_idle) = reuse_terms(&head.headers) {
            let now = state.clock.now();
            state
                .links
                .borrow_mut()
                .put(guard.key(), link, told_idle, now);
        }
        trace.end("answered", "", head.status.as_u16());
    }

    /// Ends the caller's stream so that it can't look whole.
    async fn cut(mut self) {
        let reason = match self.machine.outcome() {
            Some(RequestOutcome::Unknown(reason)) => unknown_text(reason),
            _ => "not resumed",
        };
        let status = self.sent.head.status.as_u16();
        self.trace.end("cut", reason, status);
        // The send fails only when the caller is gone as well.
        let told = self.output.send(Err(RelayBroken));
        if tokio::time::timeout(Duration::from_secs(1), told)
            .await
            .is_err()
        {
            tracing::debug!("the caller does not read the end of a broken stream");
        }
    }
}

fn is_continuation<D>(sent: &SentRequest<D>) -> bool {
    sent.verdict == HeadVerdict::Relay && sent.head.status.is_success()
}

/// Returns the text of a reason for logs.
pub(crate) const fn unknown_text(reason: briarrail_outcome::UnknownReason) -> &'static str {
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
