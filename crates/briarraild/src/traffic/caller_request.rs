//! Requests from callers.

use briarrail_model::{CustomerId, MilliTime, RequestAttributes, StableHash, hash_bytes};
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use serde::Deserialize;
use serde::de::IgnoredAny;

/// A request whose head and body were read.
#[derive(Debug, Clone)]
pub(crate) struct CallerRequest {
    /// Request id, assigned by this router.
    pub(crate) id: String,
    /// Customer from the customer header; empty if the header is missing.
    pub(crate) customer: CustomerId,
    /// Hash of customer and chat id, if the request has a chat id.
    pub(crate) chat_hash: Option<StableHash>,
    /// Idempotency key, if the request has one.
    pub(crate) idempotency_key: Option<String>,
    /// HTTP method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) uri: Uri,
    /// Headers as received from the caller.
    pub(crate) headers: HeaderMap,
    /// Complete body.
    pub(crate) body: Bytes,
    /// Fields of the body that routing uses.
    pub(crate) body_fields: BodyFields,
    /// Unix time at which the head was received.
    pub(crate) received_at: MilliTime,
}

impl CallerRequest {
    /// Returns the attributes that routes match on.
    pub(crate) fn attributes(&self) -> RequestAttributes<'_> {
        RequestAttributes {
            customer: self.customer.as_str(),
            method: self.method.as_str(),
            path: self.uri.path(),
            model: self.body_fields.model.as_deref(),
        }
    }

    /// Returns whether the request continues a chat with earlier messages, whose context a target
    /// may have cached.
    pub(crate) fn is_returning(&self) -> bool {
        self.chat_hash.is_some() && self.body_fields.messages.len() > 1
    }

    /// Returns the path and query.
    pub(crate) fn path_and_query(&self) -> &str {
        self.uri.path_and_query().map_or("/", |path| path.as_str())
    }

    /// Returns a hash of method, path, query and body, to detect an idempotency key that is reused
    /// with another request.
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

/// Fields of a JSON body that routing uses.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(crate) struct BodyFields {
    /// Name of the requested model.
    pub(crate) model: Option<String>,
    /// Whether the caller asks for an event stream.
    pub(crate) stream: Option<bool>,
    /// Messages of the chat so far.
    pub(crate) messages: Vec<IgnoredAny>,
}

impl BodyFields {
    /// Parses the fields of a JSON body.
    ///
    /// # Errors
    ///
    /// Fails if the body is not a JSON object or a field has a wrong type.
    pub(crate) fn from_json(body: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(body)
    }
}
