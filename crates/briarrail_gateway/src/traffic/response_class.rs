//! Classification of a target's response by its head.

use briarrail_model::MilliDuration;
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, header, response};

use crate::{ResponseHeaders, WireDialect};

/// Highest status code of HTTP; the HTTP client takes any of three digits from 100.
const MAX_STATUS: u16 = 599;

/// What to do with a response, according to its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResponseClass {
    /// Relay the response to the caller.
    Relay,
    /// The target failed; its response is relayed if no other target succeeds.
    TargetFailed,
    /// The target states that it did not run the request.
    NotRun,
    /// The address belongs to another target, which did not run the request.
    WrongTarget,
    /// The response is not valid for this request; contains the reason.
    Invalid(&'static str),
}

/// Classifies a response by its head.
///
/// A refusal without the identifier of its request may be one of an earlier request if the
/// connection is reused.
pub(crate) fn classify_response(
    head: &response::Parts,
    marks: &ResponseHeaders,
    request_id: &Bytes,
    is_reused_connection: bool,
) -> ResponseClass {
    if marks.request_id.as_ref().is_some_and(|id| id != request_id) {
        return ResponseClass::Invalid("answer to another request");
    }
    if head.status.is_informational() {
        return ResponseClass::Invalid("interim answer");
    }
    if head.status.as_u16() > MAX_STATUS {
        return ResponseClass::Invalid("unknown status class");
    }
    let is_refusal = marks.not_run || head.status == StatusCode::MISDIRECTED_REQUEST;
    if is_refusal && marks.request_id.is_none() && is_reused_connection {
        return ResponseClass::Invalid("refusal without identifier");
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return ResponseClass::WrongTarget;
    }
    if marks.not_run {
        return ResponseClass::NotRun;
    }
    if !marks.has_digest || marks.request_id.is_none() {
        return ResponseClass::Invalid("no digest or identifier");
    }
    if head.headers.contains_key(header::CONTENT_ENCODING)
        || has_other_transfer_coding(&head.headers)
    {
        return ResponseClass::Invalid("encoded body");
    }
    if head.status.is_server_error() {
        return ResponseClass::TargetFailed;
    }
    ResponseClass::Relay
}

/// Returns whether the body has a transfer coding other than chunks, which the HTTP client doesn't
/// decode; without chunks at last, such a body ends with its connection.
fn has_other_transfer_coding(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(header::TRANSFER_ENCODING).iter();
    values.next().is_some_and(|value| {
        !value.as_bytes().eq_ignore_ascii_case(b"chunked") || values.next().is_some()
    })
}

/// Returns whether an empty body can be that of a success whose target stopped after the head.
///
/// A failure is relayed also without its body, since its status already tells the caller.
pub(crate) fn is_empty_body_lost(method: &Method, head: &response::Parts) -> bool {
    let is_bodyless = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::RESET_CONTENT
    );
    head.status.is_success()
        && !is_bodyless
        && method != Method::HEAD
        && is_close_delimited(&head.headers)
}

/// Returns whether the body has no length and no chunks, and so ends with its connection.
///
/// A target that crashes can end such a body without an error.
pub(crate) fn is_close_delimited(headers: &HeaderMap) -> bool {
    !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns `None` if the connection can't be reused, and otherwise the idle timeout that the target
/// announced, if any.
pub(crate) fn reuse_timeout(headers: &HeaderMap) -> Option<Option<MilliDuration>> {
    let text = |name: header::HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let closes = text(header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close"));
    if closes {
        return None;
    }
    let timeout = text(header::HeaderName::from_static("keep-alive")).and_then(|value| {
        let seconds = value
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="))?;
        seconds.parse().ok().map(MilliDuration::from_secs)
    });
    Some(timeout)
}

/// Reads the headers that the gateway interprets from the head of a response.
pub(crate) fn read_response_marks<D>(dialect: &D, head: &response::Parts) -> ResponseHeaders
where
    D: WireDialect,
{
    dialect.decode_response(&head.headers)
}
