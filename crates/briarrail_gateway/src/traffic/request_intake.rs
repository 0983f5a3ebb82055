//! What is checked of a request before it goes anywhere.

use std::rc::Rc;

use briarrail_dispatch::{RefusalCause, RouteLookup, RouteSemantics, retry_after};
use briarrail_model::{MilliDuration, MilliTime, hash_bytes};
use bytes::Bytes;
use http::{Response, StatusCode, Uri, header, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

use super::gateway_reply::gateway_reply;
use super::relay_body::RelayBody;
use super::request_context::{RequestContext, forwarded_headers};
use super::request_trace::RequestTrace;
use super::traffic_state::{StopPhase, TrafficState};
use crate::{CallerHead, WireDialect};

/// A request that goes to no target.
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

    pub(crate) fn outcome(&self) -> &'static str {
        if self.status == StatusCode::SERVICE_UNAVAILABLE {
            "not_run"
        } else {
            "rejected"
        }
    }

    pub(crate) fn reply<D>(
        &self,
        state: &Rc<TrafficState<D>>,
        request_id: &Bytes,
    ) -> Response<RelayBody>
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

/// Checks a request against the configuration and reads its body.
pub(crate) async fn take_request<D>(
    state: &Rc<TrafficState<D>>,
    head: &request::Parts,
    body: Incoming,
    arrived_at: MilliTime,
    trace: &mut RequestTrace<D>,
) -> Result<RequestContext, Refusal>
where
    D: WireDialect,
{
    let caller = state
        .dialect
        .read_caller(&head.headers)
        .map_err(|_| Refusal::new(StatusCode::BAD_REQUEST, "unreadable request head"))?;
    trace.set_request_id(&caller.request_id);
    let affinity = caller.prompt.affinity_key();
    trace.context = affinity.map(|key| key.0 as u32);
    trace.shared_tokens = caller.prompt.shared_tokens();
    let seed = hash_bytes(&caller.request_id);
    let elsewhere = |reason| Refusal {
        retry_after: Some(retry_after(RefusalCause::RouterUnavailable, seed)),
        ..Refusal::new(StatusCode::SERVICE_UNAVAILABLE, reason)
    };
    let Some(table) = state.shared.routing_table.load_full() else {
        return Err(elsewhere("no configuration yet"));
    };
    if state.shared.stop_phase() == StopPhase::Draining {
        return Err(elsewhere("the router stops"));
    }
    trace.config_version = table.version();
    let host = request_host(head)
        .ok_or_else(|| Refusal::new(StatusCode::BAD_REQUEST, "no host, or more than one"))?;
    let key = caller.key.as_deref();
    let (route, customer) = match table.look_up(host, head.uri.path(), key) {
        RouteLookup::Found { route, customer } => (route, customer),
        RouteLookup::NoRoute => return Err(Refusal::new(StatusCode::NOT_FOUND, "no route")),
        RouteLookup::UnknownKey => {
            return Err(Refusal::new(StatusCode::UNAUTHORIZED, "unknown key"));
        }
    };
    let rules = table.route(route);
    trace.route.clone_from(&rules.name);
    let Some(service) = table.choose_service(route, &caller.request_id) else {
        return Err(Refusal::new(
            StatusCode::NOT_FOUND,
            "the route has no service",
        ));
    };
    service.clone_into(&mut trace.service);
    trace.customer = customer.map(|customer| customer.name.to_string());
    let priority = customer.and_then(|customer| customer.priority);
    let mut context = new_context(state, head, caller, service);
    context.customer.clone_from(&trace.customer);
    context.priority = priority.unwrap_or(rules.priority);
    context.apply_route(&table, rules, arrived_at);
    let reading = read_body(body, table.limits().body_bytes);
    let ends_at = state.clock.instant(context.ends_at);
    let read = tokio::time::timeout_at(ends_at, reading).await;
    let too_slow = |_| Refusal::new(StatusCode::REQUEST_TIMEOUT, "the body came too slowly");
    context.body = read.map_err(too_slow)??;
    Ok(context)
}

fn new_context<D>(
    state: &Rc<TrafficState<D>>,
    head: &request::Parts,
    caller: CallerHead,
    service: &str,
) -> RequestContext
where
    D: WireDialect,
{
    let path = head.uri.path_and_query().cloned();
    RequestContext {
        headers: forwarded_headers(&state.dialect, &head.headers),
        caller,
        method: head.method.clone(),
        uri: path.map_or_else(|| Uri::from_static("/"), Uri::from),
        body: Bytes::new(),
        route: String::new(),
        service: service.to_owned(),
        customer: None,
        priority: 0,
        repeat: RouteSemantics::AtMostOnce,
        objective: MilliDuration::ZERO,
        event_gap: MilliDuration::ZERO,
        max_attempts: 1,
        caches_prompts: false,
        max_connections: 0,
        ends_at: MilliTime::default(),
    }
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    let too_large = || Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large());
    }
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(too_large()),
        Err(_) => Err(Refusal::new(StatusCode::BAD_REQUEST, "the body broke off")),
    }
}

/// Returns the host without its port.
fn request_host(head: &request::Parts) -> Option<&str> {
    let mut values = head.headers.get_all(header::HOST).iter();
    let value = values.next().and_then(|value| value.to_str().ok())?;
    if values.next().is_some() {
        return None;
    }
    Some(value.rsplit_once(':').map_or(value, |(host, _)| host))
}
