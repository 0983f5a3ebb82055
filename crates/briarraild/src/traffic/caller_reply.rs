//! Replies to callers.

use briarrail_model::MilliDuration;
use briarrail_outcome::{
    NotRunReason, OUTCOME_HEADER, OutcomeReply, REQUEST_ID_HEADER, RequestOutcome,
};
use bytes::Bytes;
use futures_util::stream::BoxStream;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use salvo::Response;
use salvo::http::ResBody;

/// Body of a reply.
pub(crate) enum ReplyBody {
    /// A whole body.
    Whole(Bytes),
    /// A body that is relayed while it comes; an error aborts the transfer.
    Relayed(BoxStream<'static, Result<Bytes, std::io::Error>>),
}

/// A reply to a caller.
pub(crate) struct CallerReply {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// Headers of the answer.
    pub(crate) headers: HeaderMap,
    /// Body of the answer.
    pub(crate) body: ReplyBody,
}

impl CallerReply {
    /// Makes the reply for an outcome that carries no answer of a target.
    pub(crate) fn from_outcome(reply: OutcomeReply) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(
            http::header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static(reply.outcome));
        if let Some(seconds) = reply.retry_after_s {
            headers.insert(http::header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
        Self {
            status,
            headers,
            body: ReplyBody::Whole(reply.body),
        }
    }

    /// Makes the reply for a request that was refused because its pool is full.
    pub(crate) fn overloaded(retry_after: MilliDuration) -> Self {
        let outcome = RequestOutcome::NotRun(NotRunReason::Overloaded);
        let seconds = retry_after.as_millis().div_ceil(1_000).max(1) as u32;
        Self::from_outcome(OutcomeReply::from(outcome).with_retry_after(seconds))
    }

    /// Sets a header, unless the value is not a valid one.
    #[must_use]
    pub(crate) fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(HeaderName::from_static(name), value);
        }
        self
    }

    /// Writes the reply with the request's identifier.
    pub(crate) fn write_to(self, request_id: &str, response: &mut Response) {
        let reply = self.with_header(REQUEST_ID_HEADER, request_id);
        response.status_code(reply.status);
        response.set_headers(reply.headers);
        let body = match reply.body {
            ReplyBody::Whole(bytes) => ResBody::Once(bytes),
            ReplyBody::Relayed(stream) => ResBody::stream(stream),
        };
        response.body(body);
    }
}
