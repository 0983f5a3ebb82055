//! Buffering and relaying of responses other than event streams.

use std::io;

use briarrail_outcome::{AttemptEvent, OUTCOME_HEADER, RequestOutcome, RetryStep, UnknownReason};
use briarrail_peer::ClaimAnswer;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use http::{HeaderMap, StatusCode};

use super::target_response::header_text;
use super::{CallDriver, CallerReply, ReplyBody, TargetResponse, forwarded_headers};

/// Result of buffering a response up to a size limit.
pub(crate) enum BufferResult {
    /// The response is complete.
    Complete(BufferedResponse),
    /// The response exceeds the limit: its start, and the response to read the rest from.
    TooLarge(BufferedResponse, TargetResponse),
    /// The response was interrupted; none of it was sent to the caller.
    Interrupted(AttemptEvent),
}

/// Status, headers and buffered body of a response.
#[derive(Debug, Clone)]
pub(crate) struct BufferedResponse {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// Headers to forward to the caller.
    pub(crate) headers: HeaderMap,
    /// Body, or its start if the response exceeds the limit.
    pub(crate) body: Bytes,
}

impl BufferedResponse {
    /// Returns the answer to record with a claim.
    pub(crate) fn to_claim_answer(&self) -> ClaimAnswer {
        let content_type = header_text(&self.headers, http::header::CONTENT_TYPE.as_str());
        ClaimAnswer {
            status: self.status.as_u16(),
            content_type: content_type.map(str::to_owned),
            body: Some(self.body.clone()),
        }
    }

    /// Returns the reply that forwards the response.
    pub(crate) fn into_reply(self) -> CallerReply {
        let body = ReplyBody::Complete(self.body);
        let reply = CallerReply {
            status: self.status,
            headers: self.headers,
            body,
        };
        reply.with_header(OUTCOME_HEADER, RequestOutcome::Answered.as_header())
    }
}

/// Buffers a response until its body ends or exceeds `limit` bytes.
pub(crate) async fn buffer_response(
    driver: &CallDriver,
    mut response: TargetResponse,
    limit: u64,
) -> BufferResult {
    let status = response.inner.status();
    let headers = forwarded_headers(response.inner.headers());
    let mut body = BytesMut::new();
    loop {
        let buffered = |body: BytesMut| BufferedResponse {
            status,
            headers: headers.clone(),
            body: body.freeze(),
        };
        match tokio::time::timeout_at(driver.deadline(), response.chunk()).await {
            Ok(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
            Ok(Ok(None)) if body.is_empty() && is_empty_body_lost(driver, &response) => {
                let request_id = &driver.request.id;
                tracing::warn!(%request_id, "traffic: the connection ended before the body");
                return BufferResult::Interrupted(AttemptEvent::SendFailed);
            }
            Ok(Ok(None)) => return BufferResult::Complete(buffered(body)),
            Ok(Err(_)) => return BufferResult::Interrupted(AttemptEvent::SendFailed),
            Err(_) => return BufferResult::Interrupted(AttemptEvent::DeadlinePassed),
        }
        if body.len() as u64 > limit {
            return BufferResult::TooLarge(buffered(body), response);
        }
    }
}

/// Returns whether an empty body can be that of a success whose target stopped after the head: it has
/// no length and no chunks, and so ends with its connection.
fn is_empty_body_lost(driver: &CallDriver, response: &TargetResponse) -> bool {
    let status = response.inner.status();
    let is_bodyless = matches!(status, StatusCode::NO_CONTENT | StatusCode::RESET_CONTENT);
    status.is_success()
        && !is_bodyless
        && driver.request.method.as_str() != "HEAD"
        && response.ends_with_connection()
}

/// Relays a response that exceeds the buffer limit; an interruption aborts the transfer.
pub(crate) fn relay_large_response(
    mut driver: CallDriver,
    buffered: BufferedResponse,
    response: TargetResponse,
) -> CallerReply {
    driver.handle(AttemptEvent::HeadReceived);
    let relay = LargeResponseRelay {
        driver,
        buffered: Some(buffered.body),
        response,
        has_failed: false,
    };
    let stream = futures_util::stream::unfold(relay, |mut relay| async move {
        let item = relay.next_item().await?;
        Some((item, relay))
    });
    let body = ReplyBody::Streamed(stream.boxed());
    CallerReply {
        status: buffered.status,
        headers: buffered.headers,
        body,
    }
}

struct LargeResponseRelay {
    driver: CallDriver,
    buffered: Option<Bytes>,
    response: TargetResponse,
    has_failed: bool,
}

impl LargeResponseRelay {
    async fn next_item(&mut self) -> Option<io::Result<Bytes>> {
        if let Some(buffered) = self.buffered.take() {
            return Some(Ok(buffered));
        }
        if self.has_failed {
            return None;
        }
        let read = tokio::time::timeout_at(self.driver.deadline(), self.response.chunk()).await;
        match read {
            Ok(Ok(Some(chunk))) => Some(Ok(chunk)),
            Ok(Ok(None)) => {
                self.driver
                    .complete_streamed(self.response.inner.status().as_u16());
                None
            }
            Ok(Err(_)) => Some(Err(self.fail(AttemptEvent::BodyBroken { resume_at: None }))),
            Err(_) => Some(Err(self.fail(AttemptEvent::DeadlinePassed))),
        }
    }

    fn fail(&mut self, event: AttemptEvent) -> io::Error {
        self.has_failed = true;
        let outcome = match self.driver.handle(event) {
            RetryStep::Finish(outcome) => outcome,
            _ => RequestOutcome::Unknown(UnknownReason::ConnectionLost),
        };
        self.driver.finish(outcome);
        io::Error::new(
            io::ErrorKind::BrokenPipe,
            "the response of the target was interrupted",
        )
    }
}
