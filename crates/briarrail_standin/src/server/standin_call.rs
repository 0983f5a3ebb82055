//! Calls, as the stand-ins see them.

use std::str::FromStr;

use bytes::Bytes;
use http::{HeaderMap, Method};
use salvo::Request;

/// Largest body that a stand-in reads, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// One call, read whole.
#[derive(Debug)]
pub(crate) struct StandinCall {
    /// HTTP method.
    pub(crate) method: Method,
    /// Decoded path, with its leading slash.
    pub(crate) path: String,
    /// Query parameters, in their order.
    pub(crate) query: Vec<(String, String)>,
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
}

impl StandinCall {
    /// Reads a call; none when its body is too large or broken.
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

    /// Returns a header as text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns a query parameter, or none when it is missing or malformed.
    pub(crate) fn parameter<T>(&self, name: &str) -> Option<T>
    where
        T: FromStr,
    {
        let (_, value) = self.query.iter().find(|(key, _)| key == name)?;
        value.parse().ok()
    }
}
