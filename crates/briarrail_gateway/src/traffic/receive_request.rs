//! Receives requests from callers and checks them before they are sent to a target.

use std::rc::Rc;
use std::sync::Arc;

use briarrail_dispatch::{ReclaimCause, RefusalCause, RouteLookup, RouteSemantics, retry_after};
use briarrail_model::{MilliDuration, MilliTime, StableHash, hash_bytes};
use bytes::Bytes;
use http::{Response, StatusCode, Uri, header, request};
use hyper::body::Incoming;

use super::body_reader::{BodyError, BodyReader};
use super::caller_memory::MemoryHold;
use super::gateway_reply::gateway_reply;
use super::part_list::PartList;
use super::request_context::{RequestContext, forwarded_headers};
use super::request_trace::RequestTrace;
use super::request_traits::{RequestTraits, request_fingerprint};
use super::response_body::ResponseBody;
use super::traffic_state::{StopPhase, TrafficState};
use crate::{CallerHeaders, WireDialect};

/// Reason of responses to requests that the router no longer serves.
pub(super) const STOP_REASON: &str = "the router stops";
/// A request that is rejected without being sent to a target.
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    pub(crate) reason: &'static str,
    retry_after: Option<MilliDuration>,
}

impl Refusal {
    const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// Returns the outcome that is logged and counted.
    pub(crate) fn outcome(&self) -> &'static str {
        if matches!(
            self.status,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::REQUEST_TIMEOUT
        ) {
            "not_run"
        } else {
            "rejected"
        }
    }

    pub(crate) fn reply<D>(
        &self,
        state: &Rc<TrafficState<D>>,
        request_id: &Bytes,
    ) -> Response<ResponseBody>
    where
        D: WireDialect,
    {
        let id = Some(request_id).filter(|id| !id.is_empty());
        gateway_reply(
            &state.dialect,
            self.status,
            self.reason,
            id,
            self.retry_after,
        )
    }
}

/// Checks the head of a request against the configuration and reads its body.
pub(crate) async fn receive_request<D>(
    state: &Rc<TrafficState<D>>,
    head: &request::Parts,
    body: &mut Incoming,
    hold: &Rc<MemoryHold>,
    arrived_at: MilliTime,
    trace: &mut RequestTrace<D>,
) -> Result<RequestContext, Refusal>
where
    D: WireDialect,
{
    let caller = state
        .dialect
        .decode_caller(&head.headers)
        .map_err(|_| Refusal::new(StatusCode::BAD_REQUEST, "unreadable request head"))?;
    trace.set_request_id(&caller.request_id);
    let last_request = Arc::new(caller.request_id.clone());
    state.shared.last_request.store(Some(last_request));
    let affinity_key = caller.prompt.affinity_key();
    trace.context_hash = affinity_key.map(|key| key.0 as u32);
    trace.shared_tokens = caller.prompt.shared_tokens();
    trace.traits.shared_parts = PartList::new(&caller.prompt);
    let seed = hash_bytes(&caller.request_id);
    let router_unavailable = |reason| Refusal {
        retry_after: Some(retry_after(RefusalCause::RouterUnavailable, seed)),
        ..Refusal::new(StatusCode::SERVICE_UNAVAILABLE, reason)
    };
    let Some(table) = state.shared.routing_table.load_full() else {
        return Err(router_unavailable("no configuration yet"));
    };
    let refuse_if_stopping = || match state.shared.stop_phase() {
        StopPhase::Serving | StopPhase::Leaving => Ok(()),
        StopPhase::Draining | StopPhase::Ending => Err(router_unavailable(STOP_REASON)),
    };
    refuse_if_stopping()?;
    trace.config_version = table.version();
    let host = request_host(head)
        .ok_or_else(|| Refusal::new(StatusCode::BAD_REQUEST, "no host, or more than one"))?;
    let key = caller.key.as_deref();
    let (route_key, customer) = match table.look_up(host, head.uri.path(), key) {
        RouteLookup::Found { route, customer } => (route, customer),
        RouteLookup::NoRoute => return Err(Refusal::new(StatusCode::NOT_FOUND, "no route")),
        RouteLookup::UnknownKey => {
            return Err(Refusal::new(StatusCode::UNAUTHORIZED, "unknown key"));
        }
    };
    let route = table.route(route_key);
    trace.route.clone_from(&route.name);
    let Some(service) = table.choose_service(route_key, caller.first_attempt()) else {
        return Err(Refusal::new(
            StatusCode::NOT_FOUND,
            "the route has no service",
        ));
    };
    service.clone_into(&mut trace.service);
    trace.customer = customer.map(|customer| customer.name.to_string());
    let priority = customer.and_then(|customer| customer.priority);
    let mut context = new_context(state, head, caller, hold, service);
    context.customer.clone_from(&trace.customer);
    context.priority = priority.unwrap_or(route.priority);
    context.homes = table.homes(route_key, customer);
    context.apply_route(&table, route, arrived_at);
    let customer = context.customer.as_ref();
    let customer = customer.map(|name| hash_bytes(name.as_bytes()));
    let body = BodyReader::new(hold, customer, table.limits().body_bytes).read(body);
    let deadline = state.clock.instant(context.deadline);
    let body = tokio::time::timeout_at(deadline, body).await;
    let timed_out = |_| Refusal::new(StatusCode::REQUEST_TIMEOUT, "the body came too slowly");
    let body = body.map_err(timed_out)?;
    context.body = body.map_err(|error| body_refusal(error, context.objective, seed))?;
    // The body may have come late in the stop.
    refuse_if_stopping()?;
    trace.traits.fingerprint = Some(request_fingerprint(&context, host));
    context.traits = trace.traits.clone();
    Ok(context)
}

fn new_context<D>(
    state: &Rc<TrafficState<D>>,
    head: &request::Parts,
    caller: CallerHeaders,
    hold: &Rc<MemoryHold>,
    service: &str,
) -> RequestContext
where
    D: WireDialect,
{
    let path_and_query = head.uri.path_and_query().cloned();
    RequestContext {
        headers: forwarded_headers(&state.dialect, &head.headers),
        caller,
        method: head.method.clone(),
        uri: path_and_query.map_or_else(|| Uri::from_static("/"), Uri::from),
        body: Bytes::new(),
        hold: Rc::clone(hold),
        traits: RequestTraits::default(),
        route: String::new(),
        service: service.to_owned(),
        customer: None,
        priority: 0,
        semantics: RouteSemantics::AtMostOnce,
        objective: MilliDuration::ZERO,
        event_gap: MilliDuration::ZERO,
        max_attempts: 1,
        caches_prompts: false,
        max_connections: 0,
        deadline: MilliTime::default(),
        homes: None,
        has_short_streams: false,
        resume_point: None,
    }
}

/// Returns the refusal of a request whose body was not read completely.
fn body_refusal(error: BodyError, objective: MilliDuration, seed: StableHash) -> Refusal {
    match error {
        BodyError::TooLarge => Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
        BodyError::BrokenOff => Refusal::new(StatusCode::BAD_REQUEST, "the body broke off"),
        BodyError::Reclaimed(ReclaimCause::Stalled) => Refusal::new(
            StatusCode::REQUEST_TIMEOUT,
            "the body made no progress while memory was scarce",
        ),
        BodyError::Reclaimed(_) => Refusal {
            retry_after: Some(retry_after(RefusalCause::AtCapacity(objective), seed)),
            ..Refusal::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "the body gave way while memory was scarce",
            )
        },
    }
}

/// Returns the host without its port, or `None` if the header is missing, repeated or not text.
fn request_host(head: &request::Parts) -> Option<&str> {
    let mut values = head.headers.get_all(header::HOST).iter();
    let value = values.next().and_then(|value| value.to_str().ok())?;
    if values.next().is_some() {
        return None;
    }
    Some(value.rsplit_once(':').map_or(value, |(host, _)| host))
}
