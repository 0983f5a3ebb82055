//! The seam behind which the names of headers stand.

use std::net::SocketAddr;

use briarrail_dispatch::PromptParts;
use briarrail_model::MilliDuration;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};
use thiserror::Error;

/// What a caller's head says, in the product's own terms.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerHeaders {
    /// Identifier of this attempt of the caller.
    pub request_id: Bytes,
    /// How long the caller waits for the whole answer.
    pub deadline: Option<MilliDuration>,
    /// Key by which the caller proves whom it acts for.
    pub key: Option<String>,
    /// Parts of the prompt.
    pub prompt: PromptParts,
    /// Last event that the caller has of a stream that broke.
    pub last_event: Option<u64>,
}

/// Why a caller's head can't be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum HeaderError {
    /// The request has no identifier, so its answer could not be told from another's.
    #[error("the request has no identifier")]
    MissingRequestId,
    /// A header that decides stands more than once.
    #[error("a header that decides stands more than once")]
    Duplicate,
    /// A header that decides can't be read.
    #[error("a header that decides can't be read")]
    Malformed,
}

/// What the gateway adds to a request for a target.
#[derive(Debug, Clone, Copy)]
pub struct TargetHeaders<'a> {
    /// Identity of the target; another target at its address refuses.
    pub target: &'a str,
    /// Customer that the caller acts for.
    pub customer: Option<&'a str>,
    /// Time that is left.
    pub remaining: Option<MilliDuration>,
    /// Rank at the target, 0 first; none leaves the target's default.
    pub priority: Option<u8>,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
    /// Target from which shared context may be fetched instead of being read again.
    pub context_source: Option<SocketAddr>,
}

/// What a target's head says, in the product's own terms.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseHeaders {
    /// Identifier of the request that the answer belongs to.
    pub request_id: Option<Bytes>,
    /// Whether the target vouches for the answer with its digest.
    pub has_digest: bool,
    /// Whether the target states that it did not run the request.
    pub not_run: bool,
    /// Running and waiting requests, if the target tells them.
    pub load: Option<(u32, u32)>,
}

/// What a refusal of the gateway says.
#[derive(Debug, Clone, Copy)]
pub struct RefusalHeaders<'a> {
    /// Identifier of the request, if it had one.
    pub request_id: Option<&'a Bytes>,
    /// When to come back.
    pub retry_after: Option<MilliDuration>,
}

/// Names and formats of the headers between callers, gateway and targets.
pub trait WireDialect: Copy + Send + 'static {
    /// Path at which the balancer asks for readiness.
    fn readiness_path(&self) -> &'static str;

    /// Reads a caller's head.
    ///
    /// # Errors
    ///
    /// Fails when a header that decides is missing, repeated or malformed.
    fn decode_caller(&self, headers: &HeaderMap) -> Result<CallerHeaders, HeaderError>;

    /// Returns whether a header must not reach a target as the caller sent it.
    fn is_stripped(&self, name: &HeaderName) -> bool;

    /// Returns whether a header must reach the target even when the caller calls it one of its
    /// connection only.
    fn is_always_forwarded(&self, name: &HeaderName) -> bool;

    /// Adds the gateway's marks to a request for a target.
    fn set_target_headers(&self, headers: &mut HeaderMap, marks: &TargetHeaders<'_>);

    /// Reads a target's head.
    fn decode_response(&self, headers: &HeaderMap) -> ResponseHeaders;

    /// Adds the marks of a refusal.
    fn set_refusal_headers(&self, headers: &mut HeaderMap, marks: &RefusalHeaders<'_>);
}

/// Returns the value of a `Host` header for an address.
pub(crate) fn host_header(address: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&address.to_string()).unwrap_or(HeaderValue::from_static("target"))
}
