//! Reading of requests from callers.

use std::time::Duration;

use briarrail_model::{CustomerId, MilliTime, hash_bytes};
use briarrail_outcome::NotRunReason;
use briarrail_settings::{IdentitySettings, LimitSettings};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use http::HeaderMap;
use salvo::Request;
use salvo::http::ReqBody;
use thiserror::Error;
use uuid::Uuid;

use super::{BodyFields, CallerRequest};

const JSON_MEDIA_TYPE: &str = "application/json";

/// Error while reading a request; the request was not run.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(crate) enum ReadError {
    /// The body is larger than the limit.
    #[error("the body is larger than {limit} bytes")]
    BodyTooLarge {
        /// Limit in bytes.
        limit: u64,
    },
    /// The body did not arrive in time.
    #[error("the body did not arrive within {limit_ms} ms")]
    Timeout {
        /// Limit in milliseconds.
        limit_ms: u64,
    },
    /// The connection was lost before the body was complete.
    #[error("the body broke off")]
    ConnectionLost,
    /// The content type is JSON, but the body is not valid JSON.
    #[error("the body is not valid JSON: {0}")]
    InvalidJson(String),
    /// The value of a header that the router interprets is not visible ASCII.
    #[error("the header {0:?} is not text")]
    InvalidHeader(String),
}

impl ReadError {
    /// Returns the HTTP status of the reply.
    pub(crate) const fn status(&self) -> u16 {
        match self {
            Self::BodyTooLarge { .. } => 413,
            Self::Timeout { .. } => 408,
            Self::ConnectionLost | Self::InvalidJson(_) | Self::InvalidHeader(_) => 400,
        }
    }

    /// Returns the reason to report to the caller.
    pub(crate) const fn reason(&self) -> NotRunReason {
        NotRunReason::BadRequest
    }
}

/// Reads the complete request within the size and time limits.
///
/// # Errors
///
/// Fails if the request is too large, too slow, interrupted or malformed.
pub(crate) async fn read_request(
    request: &mut Request,
    identity: &IdentitySettings,
    limits: &LimitSettings,
    now: MilliTime,
) -> Result<CallerRequest, ReadError> {
    let customer = text_header(request.headers(), &identity.customer_header)?.unwrap_or_default();
    let chat_id = text_header(request.headers(), &identity.chat_header)?;
    let idempotency_key = text_header(request.headers(), &identity.key_header)?;
    let chat_hash = chat_id.map(|id| hash_bytes(format!("{customer}\n{id}").as_bytes()));
    let timeout = Duration::from(limits.caller_read_timeout_ms);
    let limit = limits.max_body_bytes;
    let body = read_body(request.take_body(), limit);
    let body = tokio::time::timeout(timeout, body).await.map_err(|_| {
        let limit_ms = limits.caller_read_timeout_ms.as_millis();
        ReadError::Timeout { limit_ms }
    })??;
    Ok(CallerRequest {
        id: Uuid::now_v7().to_string(),
        customer: CustomerId::from(customer.as_str()),
        chat_hash,
        idempotency_key,
        method: request.method().clone(),
        uri: request.uri().clone(),
        body_fields: parse_body_fields(request.headers(), &body)?,
        headers: request.headers().clone(),
        body,
        received_at: now,
    })
}

fn text_header(headers: &HeaderMap, name: &str) -> Result<Option<String>, ReadError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| ReadError::InvalidHeader(name.to_owned()))?;
    Ok(Some(text.to_owned()).filter(|text| !text.is_empty()))
}

async fn read_body(mut body: ReqBody, limit: u64) -> Result<Bytes, ReadError> {
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.next().await {
        let frame = frame.map_err(|_| ReadError::ConnectionLost)?;
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        if (buffer.len() + chunk.len()) as u64 > limit {
            return Err(ReadError::BodyTooLarge { limit });
        }
        if buffer.is_empty() && body.is_none() {
            return Ok(chunk);
        }
        buffer.extend_from_slice(&chunk);
    }
    Ok(buffer.freeze())
}

fn parse_body_fields(headers: &HeaderMap, body: &Bytes) -> Result<BodyFields, ReadError> {
    let content_type = headers
        .get(http::header::CONTENT_TYPE)
        .map(http::HeaderValue::as_bytes);
    let is_json = content_type.is_some_and(|value| value.starts_with(JSON_MEDIA_TYPE.as_bytes()));
    if body.is_empty() || !is_json || !body.trim_ascii_start().starts_with(b"{") {
        return validate_json(is_json, body);
    }
    BodyFields::from_json(body).map_err(|error| ReadError::InvalidJson(error.to_string()))
}

/// Validates a body that is empty, not JSON, or JSON of another type than an object.
fn validate_json(is_json: bool, body: &Bytes) -> Result<BodyFields, ReadError> {
    if is_json && !body.is_empty() {
        let parsed: Result<serde::de::IgnoredAny, _> = serde_json::from_slice(body);
        parsed.map_err(|error| ReadError::InvalidJson(error.to_string()))?;
    }
    Ok(BodyFields::default())
}
