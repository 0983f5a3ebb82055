//! Requests to a stand-in.

use std::str::FromStr;

use bytes::Bytes;
use http::{HeaderMap, Method};
use salvo::Request;

/// Maximum size of a request body, in bytes; larger ones are rejected.
const MAX_BODY_BYTES: usize = 8 << 20;

/// A request whose body was read in full.
#[derive(Debug)]
pub(crate) struct StandinRequest {
    /// HTTP method.
    pub(crate) method: Method,
    /// Percent-decoded path, with the leading slash.
    pub(crate) path: String,
    /// Query parameters, in the order of the URL.
    pub(crate) query: Vec<(String, String)>,
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
}

impl StandinRequest {
    /// Reads a request; returns `None` if its body is too large or can't be read.
    pub(crate) async fn read(request: &mut Request) -> Option<Self> {
        let body = request.payload_with_max_size(MAX_BODY_BYTES).await;
        let body = body.ok()?.clone();
        let rest: String = request.param("rest").unwrap_or_default();
        let pairs = request.queries().flat_iter();
        let query = pairs.map(|(key, value)| (key.clone(), value.clone()));
        Some(Self {
            method: request.method().clone(),
            path: format!("/{rest}"),
            query: query.collect(),
            headers: request.headers().clone(),
            body,
        })
    }

    /// Returns the value of a header, or `None` if it is missing or isn't ASCII text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the value of a query parameter, or `None` if it is missing or malformed.
    pub(crate) fn query_parameter<T>(&self, name: &str) -> Option<T>
    where
        T: FromStr,
    {
        let (_, value) = self.query.iter().find(|(key, _)| key == name)?;
        value.parse().ok()
    }
}
