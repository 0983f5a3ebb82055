//! What stays the same over all sends of one request.

use std::net::SocketAddr;
use std::sync::Arc;

use briarrail_dispatch::{RouteConfig, RouteSemantics, RoutingTable};
use briarrail_model::{MilliDuration, MilliTime, StableHash, hash_bytes};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, Request, Uri, header};
use http_body_util::Full;

use crate::{CallerHead, ProcessClock, SendMarks, WireDialect};

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::EXPECT,
    header::CONTENT_LENGTH,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Least time that is left for a send to be worth making.
const MIN_REMAINING: MilliDuration = MilliDuration::from_millis(5);

/// A request that is ready to be sent.
#[derive(Debug)]
pub(crate) struct RequestContext {
    pub(crate) caller: CallerHead,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: String,
    pub(crate) service: String,
    pub(crate) customer: Option<String>,
    pub(crate) priority: u8,
    pub(crate) repeat: RouteSemantics,
    pub(crate) objective: MilliDuration,
    pub(crate) event_gap: MilliDuration,
    pub(crate) max_attempts: u32,
    pub(crate) caches_prompts: bool,
    pub(crate) max_connections: u32,
    /// Time at which the caller or the route gives up.
    pub(crate) ends_at: MilliTime,
}

impl RequestContext {
    /// Takes from the route and its service what later sends need.
    pub(crate) fn apply_route(
        &mut self,
        table: &Arc<RoutingTable>,
        route: &RouteConfig,
        arrived_at: MilliTime,
    ) {
        self.route.clone_from(&route.name);
        self.repeat = route.semantics;
        self.objective = route.objective;
        self.event_gap = route.event_gap;
        self.max_attempts = route.max_attempts;
        let caller_end = self.caller.deadline.map(|deadline| arrived_at + deadline);
        let route_end = arrived_at + route.timeout;
        self.ends_at = caller_end.map_or(route_end, |end| end.min(route_end));
        if let Some(service) = table.service(&self.service) {
            self.caches_prompts = service.caches_prompts;
            self.max_connections = service.max_connections;
        }
    }

    /// Returns a seed that differs between requests and is equal on all routers.
    pub(crate) fn seed(&self) -> StableHash {
        hash_bytes(&self.caller.request_id)
    }

    /// Returns the time that is left, or none when it does not pay to send.
    pub(crate) fn remaining(&self, now: MilliTime) -> Option<MilliDuration> {
        let remaining = self.ends_at.since(now);
        (remaining >= MIN_REMAINING).then_some(remaining)
    }

    /// Makes the request for a target.
    pub(crate) fn target_request<D>(
        &self,
        dialect: &D,
        target: &str,
        last_event: Option<u64>,
        context_source: Option<SocketAddr>,
        clock: ProcessClock,
    ) -> Request<Full<Bytes>>
    where
        D: WireDialect,
    {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let marks = SendMarks {
            target,
            customer: self.customer.as_deref(),
            remaining: Some(self.ends_at.since(clock.now())),
            priority: self.caches_prompts.then_some(self.priority),
            last_event,
            context_source,
        };
        dialect.mark_send(request.headers_mut(), &marks);
        request
    }
}

/// Returns the headers of a caller that go on to a target.
pub(crate) fn forwarded_headers<D>(dialect: &D, headers: &HeaderMap) -> HeaderMap
where
    D: WireDialect,
{
    let named = connection_names(headers);
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop = CONNECTION_HEADERS.contains(name)
            || (named.contains(name) && !dialect.is_kept(name) && name != header::HOST);
        if !is_hop && !dialect.is_withheld(name) {
            forwarded.append(name, value.clone());
        }
    }
    forwarded
}

/// Removes from an answer what concerns the target's connection only.
pub(crate) fn strip_connection_headers(headers: &mut HeaderMap) {
    for name in connection_names(headers).iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
}

fn connection_names(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(','));
    names.filter_map(|name| name.trim().parse().ok()).collect()
}
