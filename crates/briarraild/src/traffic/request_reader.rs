//! Reading of callers' requests.

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

use super::{BodyHints, CallerRequest};

const JSON_TYPE: &str = "application/json";

/// Why a request could not be read; nothing of it was run.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(crate) enum ReadError {
    /// The body is larger than the limit.
    #[error("the body is larger than {limit} bytes")]
    BodyTooLarge {
        /// Limit in bytes.
        limit: u64,
    },
    /// The caller was too slow.
    #[error("the body did not arrive within {limit_ms} ms")]
    TooSlow {
        /// Limit in milliseconds.
        limit_ms: u64,
    },
    /// The connection broke.
    #[error("the body broke off")]
    Broken,
    /// The body claims to be JSON and is not.
    #[error("the body is not valid JSON: {0}")]
    InvalidJson(String),
    /// A header that this router reads is not text.
    #[error("the header {0:?} is not text")]
    InvalidHeader(String),
}

impl ReadError {
    /// Returns the HTTP status.
    pub(crate) const fn status(&self) -> u16 {
        match self {
            Self::BodyTooLarge { .. } => 413,
            Self::TooSlow { .. } => 408,
            Self::Broken | Self::InvalidJson(_) | Self::InvalidHeader(_) => 400,
        }
    }

    /// Returns the reason that the caller is told.
    pub(crate) const fn reason(&self) -> NotRunReason {
        NotRunReason::BadRequest
    }
}

/// Reads a request wholly, within the limits.
///
/// # Errors
///
/// Fails when the request is too large, too slow or malformed.
pub(crate) async fn read_request(
    request: &mut Request,
    identity: &IdentitySettings,
    limits: &LimitSettings,
    now: MilliTime,
) -> Result<CallerRequest, ReadError> {
    let customer = text_header(request.headers(), &identity.customer_header)?.unwrap_or_default();
    let chat = text_header(request.headers(), &identity.chat_header)?;
    let key = text_header(request.headers(), &identity.key_header)?;
    let chat = chat.map(|chat| hash_bytes(format!("{customer}\n{chat}").as_bytes()));
    let timeout = Duration::from(limits.caller_read_timeout_ms);
    let limit = limits.max_body_bytes;
    let body = read_body(request.take_body(), limit);
    let body = tokio::time::timeout(timeout, body).await.map_err(|_| {
        let limit_ms = limits.caller_read_timeout_ms.as_millis();
        ReadError::TooSlow { limit_ms }
    })??;
    Ok(CallerRequest {
        id: Uuid::now_v7().to_string(),
        customer: CustomerId::from(customer.as_str()),
        chat,
        key,
        method: request.method().clone(),
        uri: request.uri().clone(),
        hints: read_hints(request.headers(), &body)?,
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
    let mut read = BytesMut::new();
    while let Some(frame) = body.next().await {
        let frame = frame.map_err(|_| ReadError::Broken)?;
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        if (read.len() + chunk.len()) as u64 > limit {
            return Err(ReadError::BodyTooLarge { limit });
        }
        if read.is_empty() && body.is_none() {
            return Ok(chunk);
        }
        read.extend_from_slice(&chunk);
    }
    Ok(read.freeze())
}

fn read_hints(headers: &HeaderMap, body: &Bytes) -> Result<BodyHints, ReadError> {
    let content_type = headers
        .get(http::header::CONTENT_TYPE)
        .map(http::HeaderValue::as_bytes);
    let is_json = content_type.is_some_and(|value| value.starts_with(JSON_TYPE.as_bytes()));
    if body.is_empty() || !is_json || !body.trim_ascii_start().starts_with(b"{") {
        return check_json(is_json, body);
    }
    BodyHints::from_json(body).map_err(|error| ReadError::InvalidJson(error.to_string()))
}

/// Takes JSON values other than objects, which carry no hints.
fn check_json(is_json: bool, body: &Bytes) -> Result<BodyHints, ReadError> {
    if is_json && !body.is_empty() {
        let parsed: Result<serde::de::IgnoredAny, _> = serde_json::from_slice(body);
        parsed.map_err(|error| ReadError::InvalidJson(error.to_string()))?;
    }
    Ok(BodyHints::default())
}
