//! What the head of a target's answer means for the request.

use briarrail_model::MilliDuration;
use bytes::Bytes;
use http::{HeaderMap, StatusCode, header, response};

use crate::{AnswerMarks, WireDialect};

/// The meaning of a head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeadVerdict {
    /// The target's answer to this request.
    Relay,
    /// The target failed; its answer is relayed if no other target does better.
    TargetFailed,
    /// The target states that it did not run the request.
    NotRun,
    /// The target is another one than was meant, and did not run the request.
    WrongTarget,
    /// Not an answer to this request.
    Spoilt(&'static str),
}

/// Judges the head of an answer.
pub(crate) fn judge_head(
    head: &response::Parts,
    marks: &AnswerMarks,
    request_id: &Bytes,
) -> HeadVerdict {
    if marks.request_id.as_ref().is_some_and(|id| id != request_id) {
        return HeadVerdict::Spoilt("answer to another request");
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return HeadVerdict::WrongTarget;
    }
    if marks.not_run {
        return HeadVerdict::NotRun;
    }
    if head.status.is_informational() {
        return HeadVerdict::Spoilt("interim answer");
    }
    if !marks.is_sealed || marks.request_id.is_none() {
        return HeadVerdict::Spoilt("no digest or identifier");
    }
    if head.headers.contains_key(header::CONTENT_ENCODING) {
        return HeadVerdict::Spoilt("encoded body");
    }
    if head.status.is_server_error() {
        return HeadVerdict::TargetFailed;
    }
    HeadVerdict::Relay
}

/// Returns whether the connection can carry another request, and for how long it may idle.
pub(crate) fn reuse_terms(headers: &HeaderMap) -> Option<Option<MilliDuration>> {
    let text = |name: header::HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let closes = text(header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close"));
    if closes {
        return None;
    }
    let told = text(header::HeaderName::from_static("keep-alive")).and_then(|value| {
        let timeout = value
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.parse().ok().map(MilliDuration::from_secs)
    });
    Some(told)
}

/// Reads the marks of a head.
pub(crate) fn read_marks<D>(dialect: &D, head: &response::Parts) -> AnswerMarks
where
    D: WireDialect,
{
    dialect.read_answer(&head.headers)
}
