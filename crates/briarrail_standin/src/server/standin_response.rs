//! Responses of a stand-in.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use salvo::http::ResBody;
use serde::Serialize;
use serde_json::json;

use crate::NOT_RUN_HEADER;

/// How a stand-in responds to a request.
pub(crate) enum StandinResponse {
    /// Sends a response.
    Respond {
        /// HTTP status.
        status: StatusCode,
        /// Headers.
        headers: HeaderMap,
        /// Body.
        body: Box<ResBody>,
    },
    /// Closes the connection without a response.
    Abort,
    /// Keeps the connection open and never responds.
    Hang,
}

impl StandinResponse {
    /// Builds a response with a body of the given content type.
    pub(crate) fn bytes(status: StatusCode, content_type: &'static str, body: Bytes) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert("content-type", HeaderValue::from_static(content_type));
        let body = Box::new(ResBody::Once(body));
        Self::Respond {
            status,
            headers,
            body,
        }
    }

    /// Builds a response with a JSON body.
    pub(crate) fn json<T>(status: StatusCode, value: &T) -> Self
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::bytes(status, "application/json", body.into())
    }

    /// Builds an error response with a JSON body.
    pub(crate) fn error(status: StatusCode, message: &str) -> Self {
        Self::json(status, &json!({ "error": message }))
    }

    /// Builds an error response whose `x-not-run` header states that the request did not run.
    pub(crate) fn not_run(status: StatusCode, message: &str) -> Self {
        Self::error(status, message).with_header(NOT_RUN_HEADER, "true")
    }

    /// Builds a response without a body.
    pub(crate) fn empty(status: StatusCode) -> Self {
        Self::Respond {
            status,
            headers: HeaderMap::new(),
            body: Box::new(ResBody::Once(Bytes::new())),
        }
    }

    /// Adds a header to a [`Respond`](Self::Respond); ignores a value that isn't valid in a header.
    pub(crate) fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let Self::Respond { headers, .. } = &mut self
            && let Ok(value) = HeaderValue::from_str(value)
        {
            headers.insert(HeaderName::from_static(name), value);
        }
        self
    }
}
