//! Relaying of answers that are no event streams.

use std::io;

use briarrail_outcome::{AttemptEvent, OUTCOME_HEADER, RequestOutcome, RetryStep, UnknownReason};
use briarrail_peer::ClaimAnswer;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use http::{HeaderMap, StatusCode};
use reqwest::Response;

use super::target_answer::header_text;
use super::{CallDriver, CallerReply, ReplyBody, TargetAnswer, forwarded_headers};

/// An answer that was read as far as the limit allows.
pub(crate) enum ReadAnswer {
    /// The whole answer.
    Whole(WholeAnswer),
    /// The start of a larger answer, and the response with the rest.
    Large(WholeAnswer, Response),
    /// The answer broke off before anything of it went to the caller.
    Lost(AttemptEvent),
}

/// Status, headers and body of an answer.
#[derive(Debug, Clone)]
pub(crate) struct WholeAnswer {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// Headers that go to the caller.
    pub(crate) headers: HeaderMap,
    /// Body, or its start.
    pub(crate) body: Bytes,
}

impl WholeAnswer {
    /// Returns the part of the answer that a claim keeps.
    pub(crate) fn to_claim_answer(&self) -> ClaimAnswer {
        let content_type = header_text(&self.headers, http::header::CONTENT_TYPE.as_str());
        ClaimAnswer {
            status: self.status.as_u16(),
            content_type: content_type.map(str::to_owned),
            body: Some(self.body.clone()),
        }
    }

    /// Returns the reply that carries the answer.
    pub(crate) fn into_reply(self) -> CallerReply {
        let body = ReplyBody::Whole(self.body);
        let reply = CallerReply {
            status: self.status,
            headers: self.headers,
            body,
        };
        reply.with_header(OUTCOME_HEADER, RequestOutcome::Answered.as_header())
    }
}

/// Reads an answer until it ends or passes `limit` bytes.
pub(crate) async fn read_answer(
    driver: &CallDriver,
    answer: TargetAnswer,
    limit: u64,
) -> ReadAnswer {
    let mut response = answer.response;
    let status = response.status();
    let headers = forwarded_headers(response.headers());
    let mut body = BytesMut::new();
    loop {
        let whole = |body: BytesMut| WholeAnswer {
            status,
            headers: headers.clone(),
            body: body.freeze(),
        };
        match tokio::time::timeout_at(driver.deadline(), response.chunk()).await {
            Ok(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
            Ok(Ok(None)) => return ReadAnswer::Whole(whole(body)),
            Ok(Err(_)) => return ReadAnswer::Lost(AttemptEvent::SendFailed),
            Err(_) => return ReadAnswer::Lost(AttemptEvent::DeadlinePassed),
        }
        if body.len() as u64 > limit {
            return ReadAnswer::Large(whole(body), response);
        }
    }
}

/// Relays the rest of a large answer; a break aborts the transfer.
pub(crate) fn relay_large(
    mut driver: CallDriver,
    start: WholeAnswer,
    response: Response,
) -> CallerReply {
    driver.handle(AttemptEvent::HeadReceived);
    let relay = LargeRelay {
        driver,
        start: Some(start.body),
        response,
        is_failed: false,
    };
    let stream = futures_util::stream::unfold(relay, |mut relay| async move {
        let item = relay.next_item().await?;
        Some((item, relay))
    });
    let body = ReplyBody::Relayed(stream.boxed());
    CallerReply {
        status: start.status,
        headers: start.headers,
        body,
    }
}

struct LargeRelay {
    driver: CallDriver,
    start: Option<Bytes>,
    response: Response,
    is_failed: bool,
}

impl LargeRelay {
    async fn next_item(&mut self) -> Option<io::Result<Bytes>> {
        if let Some(start) = self.start.take() {
            return Some(Ok(start));
        }
        if self.is_failed {
            return None;
        }
        let read = tokio::time::timeout_at(self.driver.deadline(), self.response.chunk()).await;
        match read {
            Ok(Ok(Some(chunk))) => Some(Ok(chunk)),
            Ok(Ok(None)) => {
                self.driver
                    .complete_relayed(self.response.status().as_u16());
                None
            }
            Ok(Err(_)) => Some(Err(self.fail(AttemptEvent::BodyBroken { resume_at: None }))),
            Err(_) => Some(Err(self.fail(AttemptEvent::DeadlinePassed))),
        }
    }

    fn fail(&mut self, event: AttemptEvent) -> io::Error {
        self.is_failed = true;
        let outcome = match self.driver.handle(event) {
            RetryStep::Finish(outcome) => outcome,
            _ => RequestOutcome::Unknown(UnknownReason::ConnectionLost),
        };
        self.driver.finish(outcome);
        io::Error::new(io::ErrorKind::BrokenPipe, "the answer broke off")
    }
}
