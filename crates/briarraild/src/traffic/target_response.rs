//! Response heads from targets.

use std::ops::RangeInclusive;

use briarrail_model::PoolKind;
use briarrail_outcome::{AttemptEvent, NOT_RUN_HEADER, REQUEST_ID_HEADER, StreamChecker};
use bytes::Bytes;
use http::{HeaderMap, StatusCode, header};
use reqwest::Response;
use thiserror::Error;

use super::UploadProgress;

const EVENT_STREAM_MEDIA_TYPE: &str = "text/event-stream";
const PROMPT_TOKENS_HEADER: &str = "x-prompt-tokens";
const CACHED_TOKENS_HEADER: &str = "x-cached-tokens";

/// Status codes of final responses; the HTTP client takes any of three digits from 100.
const STATUS_CODES: RangeInclusive<u16> = 200..=599;

/// A response with a checked head and an unread body.
#[derive(Debug)]
pub(crate) struct TargetResponse {
    /// The HTTP response.
    pub(crate) inner: Response,
    /// Progress of the request's body.
    upload: UploadProgress,
}

/// Failure to read the body of a response.
#[derive(Debug, Error)]
pub(crate) enum BodyError {
    /// The connection broke.
    #[error("the connection broke")]
    ConnectionLost(#[from] reqwest::Error),
    /// The connection ended as the body requires, but before it had taken the request.
    #[error("the connection ended before the request was written")]
    UnfinishedUpload,
}

impl TargetResponse {
    /// Checks that the head belongs to the request and is no refusal.
    ///
    /// On a connection that other requests may have used, a refusal proves that the request did not
    /// run only if it has the identifier of the request; otherwise it may be an earlier one.
    ///
    /// # Errors
    ///
    /// Fails with the event to pass to the retry state machine.
    pub(crate) fn check(
        response: Response,
        upload: UploadProgress,
        kind: PoolKind,
        request_id: &str,
        is_new_connection: bool,
    ) -> Result<Self, AttemptEvent> {
        let echoed = header_text(response.headers(), REQUEST_ID_HEADER);
        let status = response.status();
        if !STATUS_CODES.contains(&status.as_u16()) {
            return Err(AttemptEvent::BadAnswer);
        }
        let is_refusal = status == StatusCode::TOO_MANY_REQUESTS || status.is_server_error();
        if is_refusal {
            let states_not_run = header_text(response.headers(), NOT_RUN_HEADER) == Some("true");
            let is_own = echoed.map_or(is_new_connection, |id| id == request_id);
            let not_run = states_not_run && is_own;
            return Err(AttemptEvent::Refused { not_run });
        }
        let needs_echo = kind == PoolKind::Model || echoed.is_some();
        if needs_echo && StreamChecker::check_request_id(request_id, echoed).is_err() {
            return Err(AttemptEvent::BadAnswer);
        }
        Ok(Self {
            inner: response,
            upload,
        })
    }

    /// Reads the next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, or if it ends the body while the request is still being written:
    /// then the target may have reset it, and the body may be a part only.
    pub(crate) async fn chunk(&mut self) -> Result<Option<Bytes>, BodyError> {
        let chunk = self.inner.chunk().await?;
        if chunk.is_none() && self.ends_with_connection() && !self.upload.is_complete() {
            return Err(BodyError::UnfinishedUpload);
        }
        Ok(chunk)
    }

    /// Returns whether the body has no length and no chunks, and so ends with its connection.
    pub(crate) fn ends_with_connection(&self) -> bool {
        let headers = self.inner.headers();
        !headers.contains_key(header::CONTENT_LENGTH)
            && !headers.contains_key(header::TRANSFER_ENCODING)
    }

    /// Returns whether the body is an event stream.
    pub(crate) fn is_event_stream(&self) -> bool {
        let content_type = header_text(self.inner.headers(), header::CONTENT_TYPE.as_str());
        content_type.is_some_and(|value| value.starts_with(EVENT_STREAM_MEDIA_TYPE))
    }

    /// Returns whether a response to a resumption can be the rest of an event stream.
    pub(crate) fn continues_stream(&self) -> bool {
        self.inner.status() == StatusCode::OK && self.is_event_stream()
    }

    /// Returns the numbers of prompt tokens and cached prompt tokens, if the head states both.
    pub(crate) fn prompt_tokens(&self) -> Option<(u64, u64)> {
        let headers = self.inner.headers();
        let prompt = header_text(headers, PROMPT_TOKENS_HEADER)?.parse().ok()?;
        let cached = header_text(headers, CACHED_TOKENS_HEADER)?.parse().ok()?;
        Some((prompt, cached))
    }
}

/// Returns the value of a header, if it is visible ASCII.
pub(crate) fn header_text<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    headers.get(name)?.to_str().ok()
}
