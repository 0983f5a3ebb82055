//! HTTP client for targets.

use std::time::Duration;

use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use reqwest::{Client, Method, Response};

use super::{CallerRequest, UploadProgress, watched_body};
use crate::state::TargetEntry;

const IDLE_CONNECTIONS_PER_TARGET: usize = 64;
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Headers that are not forwarded: hop-by-hop headers and those that the router sets itself.
const UNFORWARDED_HEADERS: [&str; 18] = [
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

/// Values of the headers that the router adds to the caller's headers in one attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptHeaders<'a> {
    /// Priority of the call: `interactive` or `deferrable`.
    pub(crate) priority: &'static str,
    /// Fencing token of the claim.
    pub(crate) fencing: Option<u64>,
    /// Id of the last relayed event, if a stream is resumed.
    pub(crate) last_event_id: Option<u64>,
    /// Request id.
    pub(crate) request_id: &'a str,
}

/// Sends requests to targets.
#[derive(Debug, Clone)]
pub(crate) struct TargetClient {
    pooled: Client,
    single_use: Client,
}

impl TargetClient {
    /// Creates a client with a connect timeout.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client can't be initialized.
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

    /// Sends an idempotent call over a pooled connection.
    ///
    /// # Errors
    ///
    /// Fails if no response head arrives.
    pub(crate) async fn send(
        &self,
        target: &TargetEntry,
        request: &CallerRequest,
        headers: AttemptHeaders<'_>,
    ) -> reqwest::Result<(Response, UploadProgress)> {
        send_with(&self.pooled, target, request, headers).await
    }

    /// Sends an at-most-once call over a new connection.
    ///
    /// If the target closed a pooled connection at the same time, the outcome would be unknown.
    ///
    /// # Errors
    ///
    /// Fails if no response head arrives.
    pub(crate) async fn send_once(
        &self,
        target: &TargetEntry,
        request: &CallerRequest,
        headers: AttemptHeaders<'_>,
    ) -> reqwest::Result<(Response, UploadProgress)> {
        send_with(&self.single_use, target, request, headers).await
    }
}

async fn send_with(
    client: &Client,
    target: &TargetEntry,
    request: &CallerRequest,
    headers: AttemptHeaders<'_>,
) -> reqwest::Result<(Response, UploadProgress)> {
    let url = format!("http://{}{}", target.address, request.path_and_query());
    let method = Method::from_bytes(request.method.as_str().as_bytes()).unwrap_or_default();
    let (body, progress) = watched_body(request.body.clone());
    let mut attempt = client
        .request(method, url)
        .headers(forwarded_headers(&request.headers))
        .header("x-request-id", headers.request_id)
        .header("x-priority", headers.priority)
        .body(body);
    if !request.body.is_empty() {
        attempt = attempt.header(CONTENT_LENGTH, request.body.len());
    }
    if let Some(fencing) = headers.fencing {
        attempt = attempt.header("x-fencing-number", fencing.to_string());
    }
    if let Some(event) = headers.last_event_id {
        attempt = attempt.header("last-event-id", event.to_string());
    }
    Ok((attempt.send().await?, progress))
}

/// Returns the headers to forward, of a request or a response.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let forwarded = headers
        .iter()
        .filter(|(name, _)| !UNFORWARDED_HEADERS.contains(&name.as_str()));
    forwarded
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
