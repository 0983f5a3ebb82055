//! HTTP client towards targets.

use std::time::Duration;

use http::HeaderMap;
use reqwest::{Client, Method, Response};

use super::CallerRequest;
use crate::state::TargetEntry;

const IDLE_CONNECTIONS_PER_TARGET: usize = 64;
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Headers that concern one connection only, and those that this router sets itself.
const DROPPED_HEADERS: [&str; 18] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "last-event-id",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-briarrail-body",
    "x-briarrail-outcome",
    "x-briarrail-repeated",
    "x-fencing-number",
    "x-priority",
    "x-request-id",
];

/// What goes to a target with one attempt, besides the caller's own headers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptHeaders<'a> {
    /// Rank of the call: `interactive` or `deferrable`.
    pub(crate) priority: &'static str,
    /// Fencing number of the claim.
    pub(crate) fencing: Option<u64>,
    /// Identifier of the last event that the caller has, when a stream is resumed.
    pub(crate) last_event: Option<u64>,
    /// Identifier of the request.
    pub(crate) request_id: &'a str,
}

/// Sends attempts to targets.
#[derive(Debug, Clone)]
pub(crate) struct TargetClient {
    pooled: Client,
    single_use: Client,
}

impl TargetClient {
    /// Makes a client with a timeout for connecting.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP library can't be set up.
    pub(crate) fn new(connect_timeout: Duration) -> reqwest::Result<Self> {
        let builder = || {
            Client::builder()
                .connect_timeout(connect_timeout)
                .tcp_nodelay(true)
                .no_proxy()
                .redirect(reqwest::redirect::Policy::none())
                .retry(reqwest::retry::never())
        };
        let pooled = builder()
            .pool_max_idle_per_host(IDLE_CONNECTIONS_PER_TARGET)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build()?;
        let single_use = builder().pool_max_idle_per_host(0).build()?;
        Ok(Self { pooled, single_use })
    }

    /// Sends one attempt of an idempotent call over a pooled connection.
    ///
    /// # Errors
    ///
    /// Fails when no response head arrives.
    pub(crate) async fn send(
        &self,
        target: &TargetEntry,
        request: &CallerRequest,
        headers: AttemptHeaders<'_>,
    ) -> reqwest::Result<Response> {
        send_with(&self.pooled, target, request, headers).await
    }

    /// Sends an at-most-once call over a connection of its own.
    ///
    /// A pooled connection that the target closes meanwhile would leave the outcome unknown.
    ///
    /// # Errors
    ///
    /// Fails when no response head arrives.
    pub(crate) async fn send_once(
        &self,
        target: &TargetEntry,
        request: &CallerRequest,
        headers: AttemptHeaders<'_>,
    ) -> reqwest::Result<Response> {
        send_with(&self.single_use, target, request, headers).await
    }
}

async fn send_with(
    client: &Client,
    target: &TargetEntry,
    request: &CallerRequest,
    headers: AttemptHeaders<'_>,
) -> reqwest::Result<Response> {
    let url = format!("http://{}{}", target.address, request.path_and_query());
    let method = Method::from_bytes(request.method.as_str().as_bytes()).unwrap_or_default();
    let mut attempt = client
        .request(method, url)
        .headers(forwarded_headers(&request.headers))
        .header("x-request-id", headers.request_id)
        .header("x-priority", headers.priority)
        .body(request.body.clone());
    if let Some(fencing) = headers.fencing {
        attempt = attempt.header("x-fencing-number", fencing.to_string());
    }
    if let Some(event) = headers.last_event {
        attempt = attempt.header("last-event-id", event.to_string());
    }
    attempt.send().await
}

/// Returns the headers that go on, in either direction.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let kept = headers
        .iter()
        .filter(|(name, _)| !DROPPED_HEADERS.contains(&name.as_str()));
    kept.map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
