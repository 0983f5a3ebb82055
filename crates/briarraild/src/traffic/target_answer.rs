//! Heads of targets' answers.

use briarrail_model::PoolKind;
use briarrail_outcome::{AttemptEvent, NOT_RUN_HEADER, REQUEST_ID_HEADER, StreamChecker};
use http::{HeaderMap, StatusCode};
use reqwest::Response;

const EVENT_STREAM_TYPE: &str = "text/event-stream";
const PROMPT_TOKENS_HEADER: &str = "x-prompt-tokens";
const CACHED_TOKENS_HEADER: &str = "x-cached-tokens";

/// The head of an answer that belongs to the request, with its unread body.
#[derive(Debug)]
pub(crate) struct TargetAnswer {
    /// The response.
    pub(crate) response: Response,
}

impl TargetAnswer {
    /// Checks the head of a response.
    ///
    /// # Errors
    ///
    /// Returns the event for the retry decision when the head is no usable answer.
    pub(crate) fn check(
        response: Response,
        kind: PoolKind,
        request_id: &str,
    ) -> Result<Self, AttemptEvent> {
        let status = response.status();
        let is_refusal = status == StatusCode::TOO_MANY_REQUESTS || status.is_server_error();
        if is_refusal {
            let not_run = header_text(response.headers(), NOT_RUN_HEADER) == Some("true");
            return Err(AttemptEvent::Refused { not_run });
        }
        let echoed = header_text(response.headers(), REQUEST_ID_HEADER);
        let needs_echo = kind == PoolKind::Model || echoed.is_some();
        if needs_echo && StreamChecker::check_request_id(request_id, echoed).is_err() {
            return Err(AttemptEvent::BadAnswer);
        }
        Ok(Self { response })
    }

    /// Returns whether the body is a stream of events.
    pub(crate) fn is_event_stream(&self) -> bool {
        let content_type =
            header_text(self.response.headers(), http::header::CONTENT_TYPE.as_str());
        content_type.is_some_and(|value| value.starts_with(EVENT_STREAM_TYPE))
    }

    /// Returns the prompt tokens and how many of them were cached, if the target says so.
    pub(crate) fn prompt_tokens(&self) -> Option<(u64, u64)> {
        let headers = self.response.headers();
        let prompt = header_text(headers, PROMPT_TOKENS_HEADER)?.parse().ok()?;
        let cached = header_text(headers, CACHED_TOKENS_HEADER)?.parse().ok()?;
        Some((prompt, cached))
    }
}

/// Returns a header's text.
pub(crate) fn header_text<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    headers.get(name)?.to_str().ok()
}
