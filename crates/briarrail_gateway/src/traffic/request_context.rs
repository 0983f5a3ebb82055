//! Properties of a request that are the same for all attempts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use briarrail_dispatch::{
    HomeSet, RouteConfig, RouteSemantics, RoutingTable, SendNeed, StreamKey, can_infer,
};
use briarrail_model::{MilliDuration, MilliTime, StableHash, hash_bytes};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, Request, Uri, header};
use http_body_util::Full;

use super::caller_memory::MemoryHold;
use super::request_traits::RequestTraits;
use super::stream_origin::ResumePoint;
use crate::{CallerHeaders, ProcessClock, TargetHeaders, WireDialect};

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
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

/// Minimum remaining time for another attempt.
const MIN_REMAINING_TIME: MilliDuration = MilliDuration::from_millis(5);

/// A validated request with the properties of its route.
#[derive(Debug)]
pub(crate) struct RequestContext {
    pub(crate) caller: CallerHeaders,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// What is held for the caller's connection.
    pub(crate) hold: Rc<MemoryHold>,
    /// Traits by which the request is recognised when it is sent again.
    pub(crate) traits: RequestTraits,
    pub(crate) route: String,
    pub(crate) service: String,
    pub(crate) customer: Option<String>,
    pub(crate) priority: u8,
    pub(crate) semantics: RouteSemantics,
    pub(crate) objective: MilliDuration,
    pub(crate) event_gap: MilliDuration,
    pub(crate) max_attempts: u32,
    pub(crate) caches_prompts: bool,
    pub(crate) max_connections: u32,
    /// Earlier of the caller's deadline and the route's time limit.
    pub(crate) deadline: MilliTime,
    /// Data centres in which the request may run; `None` if it may run in any.
    pub(crate) homes: Option<HomeSet>,
    /// Whether the origins of the route's streams can be inferred.
    pub(crate) has_short_streams: bool,
    /// Where the caller continues a stream; `None` if the stream begins with this attempt.
    pub(crate) resume_point: Option<ResumePoint>,
}

impl RequestContext {
    /// Copies the properties that attempts need from the route and its service.
    pub(crate) fn apply_route(
        &mut self,
        table: &Arc<RoutingTable>,
        route: &RouteConfig,
        arrived_at: MilliTime,
    ) {
        self.route.clone_from(&route.name);
        self.semantics = route.semantics;
        self.objective = route.objective;
        self.event_gap = route.event_gap;
        self.max_attempts = route.max_attempts;
        self.has_short_streams = can_infer(route.timeout);
        let caller_deadline = self.caller.deadline.map(|timeout| arrived_at + timeout);
        let route_deadline = arrived_at + route.timeout;
        self.deadline =
            caller_deadline.map_or(route_deadline, |deadline| deadline.min(route_deadline));
        if let Some(service) = table.service(&self.service) {
            self.caches_prompts = service.caches_prompts;
            self.max_connections = service.max_connections;
        }
    }

    /// Returns what the request needs of its target; a stream that goes on is bound to its release.
    pub(crate) fn need(&self, resume_point: Option<ResumePoint>) -> SendNeed<'_> {
        SendNeed {
            release: resume_point.map(|point| point.release),
            is_resumable: self.semantics == RouteSemantics::ResumableStream,
            homes: self.homes.as_ref(),
            seed: Some(self.seed()),
        }
    }

    /// Returns a seed that differs between requests and is the same on all routers.
    pub(crate) fn seed(&self) -> StableHash {
        hash_bytes(&self.caller.request_id)
    }

    /// Returns the key of the request's stream, which is the same for all attempts of the caller.
    pub(crate) fn stream_key(&self) -> StreamKey {
        StreamKey::new(self.caller.first_attempt())
    }

    /// Returns the time until the deadline, or `None` if it is too short for another attempt.
    pub(crate) fn remaining_time(&self, now: MilliTime) -> Option<MilliDuration> {
        let remaining = self.deadline.since(now);
        (remaining >= MIN_REMAINING_TIME).then_some(remaining)
    }

    /// Builds the request to a target.
    pub(crate) fn build_target_request<D>(
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
        let marks = TargetHeaders {
            target,
            customer: self.customer.as_deref(),
            remaining: Some(self.deadline.since(clock.now())),
            priority: self.caches_prompts.then_some(self.priority),
            last_event,
            context_source,
        };
        dialect.set_target_headers(request.headers_mut(), &marks);
        request
    }
}

/// Returns the caller's headers that are forwarded to a target.
pub(crate) fn forwarded_headers<D>(dialect: &D, headers: &HeaderMap) -> HeaderMap
where
    D: WireDialect,
{
    let listed = connection_header_names(headers);
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop_by_hop = HOP_BY_HOP_HEADERS.contains(name)
            || (listed.contains(name)
                && !dialect.is_always_forwarded(name)
                && name != header::HOST);
        if !is_hop_by_hop && !dialect.is_stripped(name) {
            forwarded.append(name, value.clone());
        }
    }
    forwarded
}

/// Removes the headers of a response that apply only to the target's connection.
pub(crate) fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    for name in connection_header_names(headers)
        .iter()
        .chain(&HOP_BY_HOP_HEADERS)
    {
        headers.remove(name);
    }
}

/// Returns the names that the `Connection` header lists.
fn connection_header_names(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(','));
    names.filter_map(|name| name.trim().parse().ok()).collect()
}
