//! Requests of callers.

use briarrail_model::{CustomerId, MilliTime, RequestAttributes, StableHash, hash_bytes};
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use serde::Deserialize;
use serde::de::IgnoredAny;

/// A request, read wholly and ready to be routed.
#[derive(Debug, Clone)]
pub(crate) struct CallerRequest {
    /// Identifier that this router gave the request.
    pub(crate) id: String,
    /// Customer that the request names; empty when it names none.
    pub(crate) customer: CustomerId,
    /// Hash of the chat that the request continues.
    pub(crate) chat: Option<StableHash>,
    /// Idempotency key.
    pub(crate) key: Option<String>,
    /// HTTP method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) uri: Uri,
    /// Headers, as the caller sent them.
    pub(crate) headers: HeaderMap,
    /// Whole body.
    pub(crate) body: Bytes,
    /// What routing needs of the body.
    pub(crate) hints: BodyHints,
    /// Unix time at which the head was read.
    pub(crate) received_at: MilliTime,
}

impl CallerRequest {
    /// Returns what routes match on.
    pub(crate) fn facts(&self) -> RequestAttributes<'_> {
        RequestAttributes {
            customer: self.customer.as_str(),
            method: self.method.as_str(),
            path: self.uri.path(),
            model: self.hints.model.as_deref(),
        }
    }

    /// Returns whether the request continues a chat that has had an answer.
    pub(crate) fn is_returning(&self) -> bool {
        self.chat.is_some() && self.hints.messages.len() > 1
    }

    /// Returns path and query.
    pub(crate) fn path_and_query(&self) -> &str {
        self.uri.path_and_query().map_or("/", |path| path.as_str())
    }

    /// Returns the hash by which a repeat with another content is recognised.
    pub(crate) fn content_hash(&self) -> StableHash {
        let mut content = Vec::with_capacity(self.body.len() + 128);
        content.extend_from_slice(self.method.as_str().as_bytes());
        content.push(b' ');
        content.extend_from_slice(self.path_and_query().as_bytes());
        content.push(b'\n');
        content.extend_from_slice(&self.body);
        hash_bytes(&content)
    }
}

/// The fields of a JSON body that routing looks at.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(crate) struct BodyHints {
    /// Model that the request asks for.
    pub(crate) model: Option<String>,
    /// Whether the answer comes as a stream of events.
    pub(crate) stream: Option<bool>,
    /// Messages of the chat so far.
    pub(crate) messages: Vec<IgnoredAny>,
}

impl BodyHints {
    /// Reads the hints from a JSON body.
    ///
    /// # Errors
    ///
    /// Fails when the body is not a JSON object.
    pub(crate) fn from_json(body: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(body)
    }
}
