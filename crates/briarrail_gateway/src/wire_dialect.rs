//! Abstraction over the header names and formats of a platform.

use std::net::SocketAddr;

use briarrail_dispatch::PromptParts;
use briarrail_model::MilliDuration;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};
use thiserror::Error;

/// Decoded headers of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerHeaders {
    /// Identifier of this attempt by the caller.
    pub request_id: Bytes,
    /// Time that the caller allows for the complete response.
    pub deadline: Option<MilliDuration>,
    /// API key that identifies the customer.
    pub key: Option<String>,
    /// Parts of the prompt.
    pub prompt: PromptParts,
    /// Last event that the caller received of an interrupted stream.
    pub last_event: Option<u64>,
    /// Identifier of the attempt that brought the first event of that stream.
    pub resumed_attempt: Option<Bytes>,
}

impl CallerHeaders {
    /// Returns the identifier of the attempt that brings the first event of the stream: this one,
    /// unless it continues a stream that the caller names.
    #[must_use]
    pub fn first_attempt(&self) -> &Bytes {
        let resumed_attempt = self.resumed_attempt.as_ref();
        resumed_attempt
            .filter(|_| self.last_event.is_some())
            .unwrap_or(&self.request_id)
    }
}

/// Why the headers of a caller's request are rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum HeaderError {
    /// The request has no identifier, so its response could not be distinguished from that of
    /// another request.
    #[error("the request has no identifier")]
    MissingRequestId,
    /// A header that affects routing or execution occurs more than once.
    #[error("a header that affects routing or execution occurs more than once")]
    Duplicate,
    /// A header that affects routing or execution is malformed.
    #[error("a header that affects routing or execution is malformed")]
    Malformed,
}

/// Values of the headers that the gateway adds to a request for a target.
#[derive(Debug, Clone, Copy)]
pub struct TargetHeaders<'a> {
    /// Identifier of the target; another target at the same address rejects the request.
    pub target: &'a str,
    /// Customer on whose behalf the caller acts.
    pub customer: Option<&'a str>,
    /// Time left until the deadline.
    pub remaining: Option<MilliDuration>,
    /// Priority at the target, 0 being the highest; `None` leaves the target's default.
    pub priority: Option<u8>,
    /// Last event that the caller received.
    pub last_event: Option<u64>,
    /// Target from which the shared context may be fetched instead of being computed again.
    pub context_source: Option<SocketAddr>,
}

/// Pause for which a target asks as it refuses a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PauseNotice {
    /// A number of seconds, which may be any number.
    Seconds(f64),
    /// Something else than a number.
    Unreadable,
}

/// Decoded headers of a target's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseHeaders {
    /// Identifier of the request that the response belongs to.
    pub request_id: Option<Bytes>,
    /// Whether the response carries a digest by the target.
    pub has_digest: bool,
    /// Whether the target states that it did not execute the request.
    pub not_run: bool,
    /// Numbers of running and of queued requests, if the target reports them.
    pub load: Option<(u32, u32)>,
    /// Requests per second that the target takes from all routers together, if it limits them.
    pub rate_limit: Option<f32>,
    /// Whether the target says that it leaves.
    pub is_leaving: bool,
    /// Pause for which the target asks, if it refuses the request.
    pub pause: Option<PauseNotice>,
}

/// Values of the headers that the gateway adds to its own error responses.
#[derive(Debug, Clone, Copy)]
pub struct RefusalHeaders<'a> {
    /// Identifier of the request, if it had one.
    pub request_id: Option<&'a Bytes>,
    /// Delay after which the caller may retry.
    pub retry_after: Option<MilliDuration>,
}

/// Names and formats of the headers exchanged by callers, the gateway and targets.
pub trait WireDialect: Copy + Send + 'static {
    /// Returns the path of the load balancer's readiness checks.
    fn readiness_path(&self) -> &'static str;

    /// Decodes the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails if a header that affects routing or execution is missing, repeated or malformed.
    fn decode_caller(&self, headers: &HeaderMap) -> Result<CallerHeaders, HeaderError>;

    /// Returns whether a caller's header must not be forwarded to a target.
    fn is_stripped(&self, name: &HeaderName) -> bool;

    /// Returns whether a header is forwarded even if the caller lists it in `Connection` as a
    /// hop-by-hop header.
    fn is_always_forwarded(&self, name: &HeaderName) -> bool;

    /// Adds the gateway's headers to a request for a target.
    fn set_target_headers(&self, headers: &mut HeaderMap, values: &TargetHeaders<'_>);

    /// Decodes the headers of a target's response.
    fn decode_response(&self, headers: &HeaderMap) -> ResponseHeaders;

    /// Adds the gateway's headers to an error response.
    fn set_refusal_headers(&self, headers: &mut HeaderMap, values: &RefusalHeaders<'_>);
}

/// Returns the value of the `Host` header for an address.
pub(crate) fn host_header(address: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&address.to_string()).unwrap_or(HeaderValue::from_static("target"))
}
