//! The seam behind which the names of headers stand.

use std::net::SocketAddr;

use briarrail_dispatch::PromptParts;
use briarrail_model::MilliDuration;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};
use thiserror::Error;

/// What a caller's head says, in the product's own terms.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerHead {
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
pub enum HeadFault {
    /// The request has no identifier, so its answer could not be told from another's.
    #[error("the request has no identifier")]
    NoRequestId,
    /// A header that decides stands more than once.
    #[error("a header that decides stands more than once")]
    Repeated,
    /// A header that decides can't be read.
    #[error("a header that decides can't be read")]
    Unreadable,
}

/// What the gateway adds to a request for a target.
#[derive(Debug, Clone, Copy)]
pub struct SendMarks<'a> {
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
pub struct AnswerMarks {
    /// Identifier of the request that the answer belongs to.
    pub request_id: Option<Bytes>,
    /// Whether the target vouches for the answer with its digest.
    pub is_sealed: bool,
    /// Whether the target states that it did not run the request.
    pub not_run: bool,
    /// Running and waiting requests, if the target tells them.
    pub load: Option<(u32, u32)>,
}

/// What a refusal of the gateway says.
#[derive(Debug, Clone, Copy)]
pub struct RefusalMarks<'a> {
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
    fn read_caller(&self, headers: &HeaderMap) -> Result<CallerHead, HeadFault>;

    /// Returns whether a header must not reach a target as the caller sent it.
    fn is_withheld(&self, name: &HeaderName) -> bool;

    /// Returns whether a header must reach the target even when the caller calls it one of its
    /// connection only.
    fn is_kept(&self, name: &HeaderName) -> bool;

    /// Adds the gateway's marks to a request for a target.
    fn mark_send(&self, headers: &mut HeaderMap, marks: &SendMarks<'_>);

    /// Reads a target's head.
    fn read_answer(&self, headers: &HeaderMap) -> AnswerMarks;

    /// Adds the marks of a refusal.
    fn mark_refusal(&self, headers: &mut HeaderMap, marks: &RefusalMarks<'_>);
}

/// Returns the value of a `Host` header for an address.
pub(crate) fn host_value(address: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&address.to_string()).unwrap_or(HeaderValue::from_static("target"))
}
