//! HTTP responses to callers.

use briarrail_model::MilliDuration;
use briarrail_outcome::{
    NotRunReason, OUTCOME_HEADER, OutcomeReply, REQUEST_ID_HEADER, RequestOutcome,
};
use bytes::Bytes;
use futures_util::stream::BoxStream;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use salvo::Response;
use salvo::http::ResBody;

/// Body of a [`CallerReply`].
pub(crate) enum ReplyBody {
    /// A buffered body.
    Complete(Bytes),
    /// A body that is relayed as it arrives; an error aborts the transfer.
    Streamed(BoxStream<'static, Result<Bytes, std::io::Error>>),
}

/// An HTTP response to a caller.
pub(crate) struct CallerReply {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// HTTP headers, without the request id.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: ReplyBody,
}

impl CallerReply {
    /// Creates the reply to a call that got no response from a target.
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
            body: ReplyBody::Complete(reply.body),
        }
    }

    /// Creates the reply to a request that was refused because of overload.
    pub(crate) fn overloaded(retry_after: MilliDuration) -> Self {
        let outcome = RequestOutcome::NotRun(NotRunReason::Overloaded);
        let seconds = retry_after.as_millis().div_ceil(1_000).max(1) as u32;
        Self::from_outcome(OutcomeReply::from(outcome).with_retry_after(seconds))
    }

    /// Sets a header; an invalid value is ignored.
    #[must_use]
    pub(crate) fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(HeaderName::from_static(name), value);
        }
        self
    }

    /// Writes the reply, with the request id as a header, to an HTTP response.
    pub(crate) fn write_to(self, request_id: &str, response: &mut Response) {
        let reply = self.with_header(REQUEST_ID_HEADER, request_id);
        response.status_code(reply.status);
        response.set_headers(reply.headers);
        let body = match reply.body {
            ReplyBody::Complete(bytes) => ResBody::Once(bytes),
            ReplyBody::Streamed(stream) => ResBody::stream(stream),
        };
        response.body(body);
    }
}
