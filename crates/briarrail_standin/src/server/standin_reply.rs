//! Replies of the stand-ins.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use salvo::http::ResBody;
use serde::Serialize;
use serde_json::json;

use crate::NOT_RUN_HEADER;

/// What a stand-in does with a call.
pub(crate) enum StandinReply {
    /// Answers it.
    Answer {
        /// HTTP status.
        status: StatusCode,
        /// Headers.
        headers: HeaderMap,
        /// Body.
        body: Box<ResBody>,
    },
    /// Closes the connection without an answer.
    Abort,
    /// Keeps the connection open and never answers.
    Hang,
}

impl StandinReply {
    /// Answers with a body of the given type.
    pub(crate) fn bytes(status: StatusCode, content_type: &'static str, body: Bytes) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert("content-type", HeaderValue::from_static(content_type));
        let body = Box::new(ResBody::Once(body));
        Self::Answer {
            status,
            headers,
            body,
        }
    }

    /// Answers with a value as JSON.
    pub(crate) fn json<T>(status: StatusCode, value: &T) -> Self
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::bytes(status, "application/json", body.into())
    }

    /// Answers with an error as JSON.
    pub(crate) fn error(status: StatusCode, message: &str) -> Self {
        Self::json(status, &json!({ "error": message }))
    }

    /// Refuses a call with the proof that it was not run.
    pub(crate) fn not_run(status: StatusCode, message: &str) -> Self {
        Self::error(status, message).with_header(NOT_RUN_HEADER, "true")
    }

    /// Answers without a body.
    pub(crate) fn empty(status: StatusCode) -> Self {
        Self::Answer {
            status,
            headers: HeaderMap::new(),
            body: Box::new(ResBody::Once(Bytes::new())),
        }
    }

    /// Adds a header; a value that isn't valid in a header is left out.
    pub(crate) fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let Self::Answer { headers, .. } = &mut self
            && let Ok(value) = HeaderValue::from_str(value)
        {
            headers.insert(HeaderName::from_static(name), value);
        }
        self
    }
}
