//! One send of a request to one target, up to the head of its answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use briarrail_dispatch::{PlacementAsk, SendOutcome, TargetKey};
use briarrail_model::{CallSemantics, MilliDuration, MilliTime};
use briarrail_outcome::AttemptEvent;
use http::response;
use hyper::body::Incoming;

use super::answer_head::{HeadVerdict, judge_head, read_marks};
use super::request_context::RequestContext;
use super::request_trace::RequestTrace;
use super::send_guard::SendGuard;
use super::traffic_state::TrafficState;
use crate::WireDialect;
use crate::net::{HttpLink, SendFault};

/// Longest time to open a connection to a target; many round trips within a site.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// Least silence after which a caller that leaves speaks against a target.
const MIN_SILENCE: MilliDuration = MilliDuration::from_millis(400);
/// That silence as a multiple of the route's objective.
const SILENCE_FACTOR: u64 = 2;
/// Part of a target's connections that all routers together open, since others may be idle.
const CONNECTION_PART: f64 = 0.8;

/// An answer whose head is good.
#[derive(Debug)]
pub(crate) struct SentRequest<D> {
    pub(crate) link: HttpLink,
    pub(crate) guard: SendGuard<D>,
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) verdict: HeadVerdict,
}

/// What came of a send.
#[derive(Debug)]
pub(crate) enum SendEnd<D> {
    /// The head of the target's answer.
    Answer(Box<SentRequest<D>>),
    /// No answer; the event decides what follows.
    Failed(AttemptEvent),
    /// No answer in time; a repeat was already taken out of the budget.
    Silent,
}

/// The targets that one request was sent to.
#[derive(Debug, Default)]
pub(crate) struct TriedTargets(pub(crate) Vec<TargetKey>);

/// Returns the silence after which a caller that leaves speaks against a target.
fn telling_silence(context: &RequestContext) -> MilliDuration {
    let wished = context.objective.as_millis() * SILENCE_FACTOR;
    MilliDuration::from_millis(wished.max(MIN_SILENCE.as_millis()))
}

/// Chooses a target, sends the request and waits for the head of its answer.
pub(crate) async fn send_to_target<D>(
    state: &Rc<TrafficState<D>>,
    context: &RequestContext,
    tried: &mut TriedTargets,
    last_event: Option<u64>,
    trace: &mut RequestTrace<D>,
) -> SendEnd<D>
where
    D: WireDialect,
{
    let now = state.clock.now();
    if context.remaining(now).is_none() {
        return SendEnd::Failed(AttemptEvent::DeadlinePassed);
    }
    let Some((key, context_source)) = choose_target(state, context, tried, trace) else {
        return SendEnd::Failed(AttemptEvent::NoTarget);
    };
    tried.0.push(key);
    let mut guard = SendGuard::begin(state, key, telling_silence(context));
    let mut link = match take_link(state, context, key).await {
        Ok(link) => link,
        Err(error) => {
            guard.record(SendOutcome::Unreachable);
            return failed(
                state,
                trace,
                "connect_failed",
                &error,
                AttemptEvent::ConnectFailed,
            );
        }
    };
    let request = context.target_request(
        &state.dialect,
        &trace.target,
        last_event,
        context_source,
        state.clock,
    );
    trace.sends += 1;
    let answer = {
        let sending = link.send(request);
        let mut sending = std::pin::pin!(sending);
        let ends_at = state.clock.instant(context.ends_at);
        let mut hurry_at = hurry_time(state, context, key, tried);
        loop {
            let hurry = hurry_at.unwrap_or(context.ends_at);
            tokio::select! {
                answer = sending.as_mut() => break Some(answer),
                () = tokio::time::sleep_until(ends_at) => break None,
                () = tokio::time::sleep_until(state.clock.instant(hurry)), if hurry_at.is_some() => {
                    hurry_at = None;
                    if state.take_repeat(&context.service) {
                        guard.record(SendOutcome::Slow);
                        trace.log_failed_send("no_answer_in_time", "");
                        state.metrics.count_send(&context.service, "silent");
                        return SendEnd::Silent;
                    }
                }
            }
        }
    };
    let Some(answer) = answer else {
        guard.record(SendOutcome::Broken);
        return failed(state, trace, "deadline", &"", AttemptEvent::DeadlinePassed);
    };
    let answer = match answer {
        Ok(answer) => answer,
        Err(SendFault::Unsent(error)) => {
            guard.waive();
            return failed(state, trace, "unsent", &error, AttemptEvent::ConnectFailed);
        }
        Err(SendFault::Lost(error)) => {
            guard.record(SendOutcome::Broken);
            return failed(state, trace, "lost", &error, AttemptEvent::SendFailed);
        }
    };
    let (head, body) = answer.into_parts();
    let marks = read_marks(&state.dialect, &head);
    if let Some((running, waiting)) = marks.load {
        let mut board = state.board.borrow_mut();
        board.note_told_load(key, running, waiting, state.clock.now());
    }
    let verdict = judge_head(&head, &marks, &context.caller.request_id);
    let refusal = AttemptEvent::Refused { proved: true };
    match verdict {
        HeadVerdict::NotRun => {
            guard.record(SendOutcome::Refused);
            failed(state, trace, "refused", &head.status, refusal)
        }
        HeadVerdict::WrongTarget => {
            guard.record(SendOutcome::Unreachable);
            failed(state, trace, "wrong_target", &head.status, refusal)
        }
        HeadVerdict::Spoilt(cause) => {
            guard.record(SendOutcome::Broken);
            failed(state, trace, cause, &head.status, AttemptEvent::BadAnswer)
        }
        HeadVerdict::Relay | HeadVerdict::TargetFailed => SendEnd::Answer(Box::new(SentRequest {
            link,
            guard,
            head,
            body,
            verdict,
        })),
    }
}

fn failed<D>(
    state: &Rc<TrafficState<D>>,
    trace: &RequestTrace<D>,
    cause: &'static str,
    detail: &impl ToString,
    event: AttemptEvent,
) -> SendEnd<D> {
    trace.log_failed_send(cause, &detail.to_string());
    state.metrics.count_send(&trace.service, cause);
    SendEnd::Failed(event)
}

fn choose_target<D>(
    state: &Rc<TrafficState<D>>,
    context: &RequestContext,
    tried: &TriedTargets,
    trace: &mut RequestTrace<D>,
) -> Option<(TargetKey, Option<SocketAddr>)> {
    let now = state.clock.now();
    let board = state.board.borrow();
    let affinity = context.caller.prompt.affinity();
    let ask = PlacementAsk {
        service: &context.service,
        affinity: affinity.filter(|_| context.caches_prompts),
        shared_tokens: context.caller.prompt.shared_tokens(),
        tried: &tried.0,
        seed: context.seed(),
    };
    let placement = board.place(&ask, &state.placement_terms(), now)?;
    let key = placement.target;
    trace.rank = placement.rank;
    trace.load_limit = placement.limit;
    if let Some(target) = board.get(key) {
        trace.target.clone_from(&target.row.id);
        trace.target_load = target.expected_load(now);
        trace.counts_age = target.peer_count_age(now);
        trace.mean_load = board.mean_load(&context.service, now);
    }
    let source = board.context_source(&ask, key, now);
    let address = source
        .and_then(|source| board.get(source))
        .map(|source| source.row.address);
    Some((key, address))
}

/// Returns when a silent target is given up for another, if the request may be repeated.
fn hurry_time<D>(
    state: &Rc<TrafficState<D>>,
    context: &RequestContext,
    key: TargetKey,
    tried: &TriedTargets,
) -> Option<MilliTime> {
    let may_repeat = context.repeat.semantics() == CallSemantics::Idempotent
        && (tried.0.len() as u32) < context.max_attempts;
    let board = state.board.borrow();
    let mut others = board.of_service(&context.service);
    let has_other = others.any(|(other, target)| other != key && target.is_open());
    let at = state.clock.now() + state.patience(context);
    (may_repeat && has_other && at < context.ends_at).then_some(at)
}

async fn take_link<D>(
    state: &Rc<TrafficState<D>>,
    context: &RequestContext,
    key: TargetKey,
) -> std::io::Result<HttpLink> {
    let at_most_once = context.repeat.semantics() == CallSemantics::AtMostOnce;
    let now = state.clock.now();
    let kept = state.links.borrow_mut().take(key, at_most_once, now);
    if let Some(link) = kept {
        return Ok(link);
    }
    let address = {
        let board = state.board.borrow();
        let target = board
            .get(key)
            .ok_or_else(|| std::io::Error::other("the target is gone"))?;
        let routers = state.shared.routers.load(Ordering::Relaxed).max(1);
        let part = CONNECTION_PART * f64::from(context.max_connections) / routers as f64;
        if context.max_connections > 0 && f64::from(target.own_requests()) > part.max(2.0) {
            return Err(std::io::Error::other(
                "this router's connections are used up",
            ));
        }
        target.row.address
    };
    HttpLink::open(address, CONNECT_LIMIT).await
}
