//! Sends a request to one target and waits for the head of its response.

use std::cell::Cell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use briarrail_dispatch::{
    AskedRun, Placement, PlacementRequest, ReleaseKey, SendNeed, SendOutcome, TargetKey,
    TargetLifetime, TargetRun,
};
use briarrail_model::{CallSemantics, MilliDuration, MilliTime};
use briarrail_outcome::AttemptEvent;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;

use super::request_context::RequestContext;
use super::request_trace::RequestTrace;
use super::response_class::{ResponseClass, classify_response, read_response_marks};
use super::send_guard::SendGuard;
use super::send_log::SendLog;
use super::stream_origin::ResumePoint;
use super::target_connections::reserve_connection;
use super::target_knowledge::TargetKnowledge;
use super::target_response::TargetResponse;
use super::traffic_state::TrafficState;
use super::tried_targets::TriedTargets;
use crate::WireDialect;
use crate::net::{HttpConnection, SendError};

/// Time limit for opening a connection to a target; many round trips within a site.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Minimum time after which a cancellation by the caller counts as a failure of the target.
const MIN_CANCELLATION_THRESHOLD: MilliDuration = MilliDuration::from_millis(400);
/// That time as a multiple of the route's latency objective.
const CANCELLATION_THRESHOLD_FACTOR: u64 = 2;
/// Fraction of a target's connection limit that all routers together use for requests; the rest is
/// for idle connections.
const CONNECTION_LIMIT_FRACTION: f64 = 0.8;
/// Minimum number of connections that each router may open to a target, for any number of routers.
const MIN_CONNECTION_LIMIT: f64 = 2.0;

/// Why no connection to a target is available.
#[derive(Debug)]
enum ConnectError {
    /// This router's share of the target's connections, or all it may open, are in use; not a failure
    /// of the target.
    LimitReached,
    /// The connection could not be opened.
    ConnectFailed(std::io::Error),
}

/// Result of sending a request to a target.
#[derive(Debug)]
pub(crate) enum SendResult<D> {
    /// The head of the response arrived.
    Response(Box<TargetResponse<D>>),
    /// The attempt failed; the event determines the next step.
    Failed(AttemptEvent),
    /// No response head arrived in time from this target; a retry was already taken from the budget.
    TimedOut(TargetKey),
}

/// Returns the time after which a cancellation by the caller counts as a failure of the target.
fn cancellation_threshold(context: &RequestContext) -> MilliDuration {
    let threshold_ms = context.objective.as_millis() * CANCELLATION_THRESHOLD_FACTOR;
    MilliDuration::from_millis(threshold_ms.max(MIN_CANCELLATION_THRESHOLD.as_millis()))
}

/// A target with a connection, to which no byte of the request was sent yet.
#[derive(Debug)]
pub(crate) struct PreparedSend<D> {
    guard: SendGuard<D>,
    connection: HttpConnection,
    context_source: Option<SocketAddr>,
    lifetime: TargetLifetime,
    run: TargetRun,
    release: ReleaseKey,
    resume_point: Option<ResumePoint>,
}

impl<D> PreparedSend<D> {
    pub(crate) const fn target(&self) -> TargetKey {
        self.guard.key()
    }

    /// Returns the flag by which the send is marked as given up for the target's silence.
    pub(crate) fn silence_flag(&self) -> Rc<Cell<bool>> {
        self.guard.silence_flag()
    }
}

/// Selects a target, sends the request and waits for the head of the response.
pub(crate) async fn send_to_target<D>(
    state: &Rc<TrafficState<D>>,
    context: &RequestContext,
    tried: &mut TriedTargets,
    resume_point: Option<ResumePoint>,
    trace: &mut RequestTrace<D>,
) -> SendResult<D>
where
    D: WireDialect,
{
    match prepare_send(state, context, tried, resume_point, trace).await {
        Ok(prepared) => {
            let retry_at = retry_time(state, context, &prepared, tried);
            let log = trace.start_send();
            send_prepared(state, context, retry_at, &log, prepared).await
        }
        Err(event) => SendResult::Failed(event),
    }
}

/// Selects a target and connects to it.
///
/// # Errors
///
/// Fails with the event of the attempt, if no target is left or its connection can't be opened.
pub(crate) async fn prepare_send<D>(
    state: &Rc<TrafficState<D>>,
    context: &RequestContext,
    tried: &mut TriedTargets,
    resume_point: Option<ResumePoint>,
    trace: &mut RequestTrace<D>,
) -> Result<PreparedSend<D>, AttemptEvent>
where
    D: WireDialect,
{
    let now = state.clock.now();
    if context.remaining_time(now).is_none() {
        return Err(AttemptEvent::DeadlinePassed);
    }
    if state.blocked_until(&context.traits).is_some() {
        trace.send_log().record_failure("blocked", &"");
        return Err(AttemptEvent::NoTarget);
    }
    let need = context.need(resume_point);
    let Some(chosen) = choose_target(state, context, tried, &need, trace) else {
        return Err(AttemptEvent::NoTarget);
    };
    let key = chosen.key;
    let traits = context.traits.clone();
    let mut guard = SendGuard::start(state, key, cancellation_threshold(context), traits);
    let acquired = acquire_connection(state, context, key).await;
    // A target is not tried if the wait for its connection is cancelled.
    tried.record(key);
    match acquired {
        Ok(connection) => Ok(PreparedSend {
            guard,
            connection,
            context_source: chosen.context_source,
            lifetime: chosen.lifetime,
            run: chosen.run,
            release: chosen.release,
            resume_point,
        }),
        Err(ConnectError::LimitReached) => {
            guard.ignore_outcome();
            trace.send_log().record_failure("connection_limit", &"");
            Err(AttemptEvent::ConnectFailed)
        }
        Err(ConnectError::ConnectFailed(error)) => {
            guard.record_outcome(SendOutcome::Unreachable);
            if error.kind() == ErrorKind::ConnectionRefused {
                state.record_refused(key);
            }
            trace.send_log().record_failure("connect_failed", &error);
            Err(AttemptEvent::ConnectFailed)
        }
    }
}

/// Sends the request to a prepared target and waits for the head of the response.
///
/// At `retry_at` the wait ends if the budget has a retry left.
pub(crate) async fn send_prepared<D>(
    state: &Rc<TrafficState<D>>,
    context: &RequestContext,
    retry_at: Option<MilliTime>,
    log: &SendLog<D>,
    prepared: PreparedSend<D>,
) -> SendResult<D>
where
    D: WireDialect,
{
    let PreparedSend {
        mut guard,
        mut connection,
        context_source,
        lifetime,
        run,
        release,
        resume_point,
    } = prepared;
    let key = guard.key();
    if let Some(denial) = state.late_denial(key, lifetime, context, resume_point) {
        guard.ignore_outcome();
        return fail_attempt(log, denial.name(), &"", AttemptEvent::ConnectFailed);
    }
    let request = context.build_target_request(
        &state.dialect,
        log.target_id(),
        resume_point.map(|point| point.last_event),
        context_source,
        state.clock,
    );
    guard.record_departure();
    let asked_at = state.clock.now();
    let asked = AskedRun { run, asked_at };
    let response = match wait_for_head(state, context, &mut connection, request, retry_at).await {
        HeadResult::Received(response) => response,
        HeadResult::TimedOut => {
            guard.record_outcome(SendOutcome::Slow);
            log.log_failure("no_answer_in_time", "");
            log.count("silent");
            return SendResult::TimedOut(key);
        }
        HeadResult::DeadlinePassed => {
            guard.record_outcome(SendOutcome::Broken);
            return fail_attempt(log, "deadline", &"", AttemptEvent::DeadlinePassed);
        }
        HeadResult::Failed(SendError::NotSent(error)) => {
            guard.ignore_outcome();
            return fail_attempt(log, "unsent", &error, AttemptEvent::ConnectFailed);
        }
        HeadResult::Failed(SendError::MaybeSent(error)) => {
            guard.record_connection_loss();
            return fail_attempt(log, "lost", &error, AttemptEvent::SendFailed);
        }
    };
    let (head, body) = response.into_parts();
    let marks = read_response_marks(&state.dialect, &head);
    let request_id = &context.caller.request_id;
    let class = classify_response(&head, &marks, request_id, connection.is_reused());
    state.record_marks(key, asked, request_id, &marks, class, head.status);
    let refusal = AttemptEvent::Refused { not_run: true };
    match class {
        ResponseClass::NotRun => {
            guard.record_outcome(SendOutcome::Refused);
            fail_attempt(log, "refused", &head.status, refusal)
        }
        ResponseClass::WrongTarget => {
            guard.record_outcome(SendOutcome::Unreachable);
            fail_attempt(log, "wrong_target", &head.status, refusal)
        }
        ResponseClass::Invalid(cause) => {
            guard.record_outcome(SendOutcome::Broken);
            fail_attempt(log, cause, &head.status, AttemptEvent::BadAnswer)
        }
        ResponseClass::Relay | ResponseClass::TargetFailed => {
            SendResult::Response(Box::new(TargetResponse {
                connection,
                guard,
                head,
                body,
                class,
                release,
            }))
        }
    }
}

/// Result of waiting for the head of a response.
enum HeadResult {
    Received(Response<Incoming>),
    Failed(SendError),
    /// No head arrived in time, and a retry was taken from the budget.
    TimedOut,
    DeadlinePassed,
}

/// Sends a request and waits for the head of the response.
///
/// At `retry_at` the wait ends if the budget has a retry left; otherwise it continues until the
/// deadline.
async fn wait_for_head<D>(
    state: &Rc<TrafficState<D>>,
    context: &RequestContext,
    connection: &mut HttpConnection,
    request: Request<Full<Bytes>>,
    mut retry_at: Option<MilliTime>,
) -> HeadResult {
    let sending = connection.send(request);
    let mut sending = std::pin::pin!(sending);
    let deadline = state.clock.instant(context.deadline);
    loop {
        let retry_instant = state.clock.instant(retry_at.unwrap_or(context.deadline));
        tokio::select! {
            response = sending.as_mut() => {
                return response.map_or_else(HeadResult::Failed, HeadResult::Received);
            }
            () = tokio::time::sleep_until(deadline) => return HeadResult::DeadlinePassed,
            () = tokio::time::sleep_until(retry_instant), if retry_at.is_some() => {
                retry_at = None;
                if state.try_take_retry(&context.service) {
                    return HeadResult::TimedOut;
                }
            }
        }
    }
}

/// Logs and counts a failed attempt.
fn fail_attempt<D>(
    log: &SendLog<D>,
    cause: &'static str,
    detail: &impl ToString,
    event: AttemptEvent,
) -> SendResult<D> {
    log.record_failure(cause, detail);
    SendResult::Failed(event)
}

/// The target that was selected for an attempt.
#[derive(Debug, Clone, Copy)]
struct ChosenTarget {
    key: TargetKey,
    lifetime: TargetLifetime,
    run: TargetRun,
    release: ReleaseKey,
    /// Address of another target with the shared context, if there is one.
    context_source: Option<SocketAddr>,
}

/// Selects a target that may get the request.
fn choose_target<D>(
    state: &Rc<TrafficState<D>>,
    context: &RequestContext,
    tried: &TriedTargets,
    need: &SendNeed<'_>,
    trace: &mut RequestTrace<D>,
) -> Option<ChosenTarget> {
    let now = state.clock.now();
    let affinity_key = context.caller.prompt.affinity_key();
    let request = PlacementRequest {
        service: &context.service,
        affinity: affinity_key.filter(|_| context.caches_prompts),
        shared_tokens: context.caller.prompt.shared_tokens(),
        tried: tried.keys(),
        seed: context.seed(),
        objective: context.objective,
        need: *need,
    };
    let placement = if tried.is_limited_to_returns() {
        None
    } else {
        place_within_limits(state, context, &request, now)
    };
    let placement = placement.or_else(|| place_return(state, context, tried, need))?;
    let key = placement.target;
    let registry = state.registry.borrow();
    trace.rank = placement.rank;
    trace.load_limit = placement.limit;
    let target = registry.get(key)?;
    trace.target_id.clone_from(&target.record.id);
    trace.target_knowledge = TargetKnowledge::new(target, now);
    trace.target_load = target.expected_load(now);
    trace.counts_age = target.peer_count_age(now);
    trace.mean_load = registry.mean_load(&context.service, now);
    let source = registry.context_source(&request, key, now);
    let context_source = source
        .and_then(|source| registry.get(source))
        .map(|source| source.record.address);
    Some(ChosenTarget {
        key,
        lifetime: target.lifetime,
        run: target.standing().run(),
        release: target.release,
        context_source,
    })
}

/// Places a request, passing over the targets that may get no more requests now.
fn place_within_limits<D>(
    state: &Rc<TrafficState<D>>,
    context: &RequestContext,
    request: &PlacementRequest<'_>,
    now: MilliTime,
) -> Option<Placement> {
    let limits = state.placement_limits();
    let mut excluded = state.full_cold_targets(&context.service, now);
    excluded.extend_from_slice(request.tried);
    loop {
        let remaining = PlacementRequest {
            tried: &excluded,
            ..*request
        };
        let placement = state.registry.borrow().place(&remaining, &limits, now)?;
        if state.admits(placement.target, context).is_ok() {
            return Some(placement);
        }
        excluded.push(placement.target);
    }
}

/// Places a request at a target that had it before and may be asked again.
fn place_return<D>(
    state: &Rc<TrafficState<D>>,
    context: &RequestContext,
    tried: &TriedTargets,
    need: &SendNeed<'_>,
) -> Option<Placement> {
    let now = state.clock.now();
    let is_usable = |key: &TargetKey| {
        let registry = state.registry.borrow();
        registry.denial(*key, need, now).is_none()
    };
    let mut returns = tried.returns().filter(is_usable);
    let target = returns.find(|key| state.admits(*key, context).is_ok())?;
    Some(Placement {
        target,
        rank: None,
        limit: 0.0,
    })
}

/// Returns the time at which the request is retried at another target if no response head has
/// arrived, or `None` if a retry is not possible.
pub(crate) fn retry_time<D>(
    state: &Rc<TrafficState<D>>,
    context: &RequestContext,
    prepared: &PreparedSend<D>,
    tried: &TriedTargets,
) -> Option<MilliTime> {
    let key = prepared.target();
    let need = context.need(prepared.resume_point);
    let may_retry = context.semantics.call_semantics() == CallSemantics::Idempotent
        && (tried.keys().len() as u32) < context.max_attempts;
    let now = state.clock.now();
    let registry = state.registry.borrow();
    let mut targets = registry.service_targets(&context.service);
    let has_other = targets.any(|(other, target)| {
        tried.may_replace_latest(other) && other != key && target.denial(&need, now).is_none()
    });
    let retry_at = now + state.response_timeout(context);
    (may_retry && has_other && retry_at < context.deadline).then_some(retry_at)
}

/// Takes an idle connection to the target, or opens a new one.
async fn acquire_connection<D>(
    state: &Rc<TrafficState<D>>,
    context: &RequestContext,
    key: TargetKey,
) -> Result<HttpConnection, ConnectError> {
    let at_most_once = context.semantics.call_semantics() == CallSemantics::AtMostOnce;
    let now = state.clock.now();
    let address = {
        let registry = state.registry.borrow();
        let Some(target) = registry.get(key) else {
            let error = std::io::Error::other("target was removed");
            return Err(ConnectError::ConnectFailed(error));
        };
        let mut pool = state.idle_connections.borrow_mut();
        let idle = pool.take(key, target.record.address, at_most_once, now);
        if let Some(connection) = idle {
            return Ok(connection);
        }
        let routers = state.shared.live_routers.load(Ordering::Relaxed).max(1);
        let share = CONNECTION_LIMIT_FRACTION * f64::from(context.max_connections) / routers as f64;
        let limit = share.max(MIN_CONNECTION_LIMIT);
        if context.max_connections > 0 && f64::from(target.local_requests()) > limit {
            return Err(ConnectError::LimitReached);
        }
        target.record.address
    };
    let slot = reserve_connection(state)
        .await
        .ok_or(ConnectError::LimitReached)?;
    let result = HttpConnection::open(address, CONNECT_TIMEOUT).await;
    result
        .map(|connection| connection.with_slot(slot))
        .map_err(ConnectError::ConnectFailed)
}
