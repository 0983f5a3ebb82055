//! One send of a request to one target, up to the head of its answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use briarrail_dispatch::{PlacementRequest, SendOutcome, TargetKey};
use briarrail_model::{CallSemantics, MilliDuration, MilliTime};
use briarrail_outcome::AttemptEvent;
use bytes::Bytes;
use http::{Request, Response, response};
use http_body_util::Full;
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

/// Connections that each router may open to a target, however many routers there are.
const MIN_CONNECTIONS: f64 = 2.0;

/// Why there is no connection to a target.
#[derive(Debug)]
enum LinkFault {
    /// This router's part of the target's connections is in use; that says nothing against it.
    OverLimit,
    /// No connection could be made.
    Unreachable(std::io::Error),
}

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
        Err(LinkFault::OverLimit) => {
            guard.waive();
            let event = AttemptEvent::ConnectFailed;
            return failed(state, trace, "connection_limit", &"", event);
        }
        Err(LinkFault::Unreachable(error)) => {
            guard.record(SendOutcome::Unreachable);
            let event = AttemptEvent::ConnectFailed;
            return failed(state, trace, "connect_failed", &error, event);
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
    let hurry_at = hurry_time(state, context, key, tried);
    let answer = match wait_for_head(state, context, &mut link, request, hurry_at).await {
        HeadWait::Answer(answer) => answer,
        HeadWait::Silent => {
            guard.record(SendOutcome::Slow);
            trace.log_failed_send("no_answer_in_time", "");
            state.metrics.count_send(&context.service, "silent");
            return SendEnd::Silent;
        }
        HeadWait::DeadlinePassed => {
            guard.record(SendOutcome::Broken);
            return failed(state, trace, "deadline", &"", AttemptEvent::DeadlinePassed);
        }
        HeadWait::Failed(SendFault::Unsent(error)) => {
            guard.waive();
            return failed(state, trace, "unsent", &error, AttemptEvent::ConnectFailed);
        }
        HeadWait::Failed(SendFault::Lost(error)) => {
            guard.record(SendOutcome::Broken);
            return failed(state, trace, "lost", &error, AttemptEvent::SendFailed);
        }
    };
    let (head, body) = answer.into_parts();
    let marks = read_marks(&state.dialect, &head);
    if let Some((running, waiting)) = marks.load {
        let mut board = state.board.borrow_mut();
        board.record_reported_load(key, running, waiting, state.clock.now());
    }
    let verdict = judge_head(&head, &marks, &context.caller.request_id);
    let refusal = AttemptEvent::Refused { not_run: true };
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

/// What came of waiting for a head.
enum HeadWait {
    Answer(Response<Incoming>),
    Failed(SendFault),
    /// Nothing came in time, and a repeat was taken out of the budget.
    Silent,
    DeadlinePassed,
}

/// Sends a request and waits for the head of its answer.
///
/// After `hurry_at` a silent target is given up, if the budget has a repeat left.
async fn wait_for_head<D>(
    state: &Rc<TrafficState<D>>,
    context: &RequestContext,
    link: &mut HttpLink,
    request: Request<Full<Bytes>>,
    mut hurry_at: Option<MilliTime>,
) -> HeadWait {
    let sending = link.send(request);
    let mut sending = std::pin::pin!(sending);
    let ends_at = state.clock.instant(context.ends_at);
    loop {
        let hurry = state.clock.instant(hurry_at.unwrap_or(context.ends_at));
        tokio::select! {
            answer = sending.as_mut() => {
                return answer.map_or_else(HeadWait::Failed, HeadWait::Answer);
            }
            () = tokio::time::sleep_until(ends_at) => return HeadWait::DeadlinePassed,
            () = tokio::time::sleep_until(hurry), if hurry_at.is_some() => {
                hurry_at = None;
                if state.take_repeat(&context.service) {
                    return HeadWait::Silent;
                }
            }
        }
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
    let affinity = context.caller.prompt.affinity_key();
    let ask = PlacementRequest {
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
        trace.target.clone_from(&target.record.id);
        trace.target_load = target.expected_load(now);
        trace.counts_age = target.peer_count_age(now);
        trace.mean_load = board.mean_load(&context.service, now);
    }
    let source = board.context_source(&ask, key, now);
    let address = source
        .and_then(|source| board.get(source))
        .map(|source| source.record.address);
    Some((key, address))
}

/// Returns when a silent target is given up for another, if the request may be repeated.
fn hurry_time<D>(
    state: &Rc<TrafficState<D>>,
    context: &RequestContext,
    key: TargetKey,
    tried: &TriedTargets,
) -> Option<MilliTime> {
    let may_repeat = context.repeat.call_semantics() == CallSemantics::Idempotent
        && (tried.0.len() as u32) < context.max_attempts;
    let board = state.board.borrow();
    let mut others = board.service_targets(&context.service);
    let has_other = others.any(|(other, target)| other != key && target.is_available());
    let at = state.clock.now() + state.patience(context);
    (may_repeat && has_other && at < context.ends_at).then_some(at)
}

async fn take_link<D>(
    state: &Rc<TrafficState<D>>,
    context: &RequestContext,
    key: TargetKey,
) -> Result<HttpLink, LinkFault> {
    let at_most_once = context.repeat.call_semantics() == CallSemantics::AtMostOnce;
    let now = state.clock.now();
    let kept = state.links.borrow_mut().take(key, at_most_once, now);
    if let Some(link) = kept {
        return Ok(link);
    }
    let address = {
        let board = state.board.borrow();
        let Some(target) = board.get(key) else {
            let error = std::io::Error::other("the target is gone");
            return Err(LinkFault::Unreachable(error));
        };
        let routers = state.shared.live_routers.load(Ordering::Relaxed).max(1);
        let part = CONNECTION_PART * f64::from(context.max_connections) / routers as f64;
        let limit = part.max(MIN_CONNECTIONS);
        if context.max_connections > 0 && f64::from(target.local_requests()) > limit {
            return Err(LinkFault::OverLimit);
        }
        target.record.address
    };
    let opened = HttpLink::open(address, CONNECT_LIMIT).await;
    opened.map_err(LinkFault::Unreachable)
}
