//! Relaying of event streams.

use std::collections::VecDeque;
use std::io;
use std::time::Duration;

use briarrail_outcome::{
    AttemptEvent, OutcomeReply, RequestOutcome, RetryStep, StreamChecker, StreamState,
    UnknownReason,
};
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use reqwest::{Response, StatusCode};

use super::{CallDriver, ReplyBody, TargetAnswer};

const ABORT_DELAY: Duration = Duration::from_millis(100);

/// How far the relay has come.
#[derive(Debug)]
enum RelayPhase {
    /// Events come from the target.
    Open(Response),
    /// The terminal event was relayed.
    Whole,
    /// The answer can't be made whole, and the caller has been told.
    Failed,
}

/// Relays the events of one answer and resumes it where it breaks.
///
/// The next chunk is read only after the caller took the last one.
#[derive(Debug)]
pub(crate) struct EventRelay {
    driver: CallDriver,
    checker: StreamChecker,
    ready: VecDeque<Bytes>,
    phase: RelayPhase,
}

impl EventRelay {
    /// Makes the relay of an answer whose head was received.
    pub(crate) fn new(mut driver: CallDriver, answer: TargetAnswer) -> Self {
        driver.handle(AttemptEvent::HeadReceived);
        Self {
            driver,
            checker: StreamChecker::new(),
            ready: VecDeque::new(),
            phase: RelayPhase::Open(answer.response),
        }
    }

    /// Returns the relay as the body of a reply.
    pub(crate) fn into_body(self) -> ReplyBody {
        ReplyBody::Relayed(self.into_stream())
    }

    fn into_stream(self) -> BoxStream<'static, io::Result<Bytes>> {
        let stream = futures_util::stream::unfold(self, |mut relay| async move {
            let item = relay.next_item().await?;
            Some((item, relay))
        });
        stream.boxed()
    }

    async fn next_item(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            if let Some(bytes) = self.ready.pop_front() {
                return Some(Ok(bytes));
            }
            match &mut self.phase {
                RelayPhase::Open(response) => {
                    let read = response.chunk();
                    let read = tokio::time::timeout_at(self.driver.deadline(), read).await;
                    match read {
                        Ok(Ok(Some(chunk))) => self.take_chunk(chunk).await,
                        Ok(Ok(None) | Err(_)) => self.resume().await,
                        Err(_) => self.fail(AttemptEvent::DeadlinePassed),
                    }
                }
                RelayPhase::Whole => return None,
                RelayPhase::Failed => {
                    // An error drops what the connection has not flushed yet.
                    tokio::time::sleep(ABORT_DELAY).await;
                    let message = "the answer can't be made whole";
                    return Some(Err(io::Error::new(io::ErrorKind::BrokenPipe, message)));
                }
            }
        }
    }

    async fn take_chunk(&mut self, chunk: Bytes) {
        let mut runs = Vec::new();
        let before = self.checker.resume_offset().unwrap_or_default();
        let result = self.checker.push(chunk, &mut runs);
        if !runs.is_empty() {
            // A run holds several events; only their ids tell how many.
            let numbered = self.checker.resume_offset().map(|after| after - before);
            let now = self.driver.now();
            self.driver
                .record
                .note_events(numbered.unwrap_or(runs.len() as u64), now);
            self.ready.extend(runs);
        }
        match result {
            Ok(StreamState::Open) => {}
            Ok(StreamState::Complete) => self.complete(),
            Err(fault) => {
                let request_id = &self.driver.request.id;
                tracing::warn!(%request_id, %fault, "traffic: stream is broken");
                self.resume().await;
            }
        }
    }

    fn complete(&mut self) {
        self.driver.complete_relayed(StatusCode::OK.as_u16());
        self.phase = RelayPhase::Whole;
    }

    async fn resume(&mut self) {
        self.checker.discard_partial();
        let resume_at = self.checker.resume_offset();
        match self
            .driver
            .go_on(AttemptEvent::BodyBroken { resume_at })
            .await
        {
            Ok(answer) => {
                self.driver.handle(AttemptEvent::HeadReceived);
                self.phase = RelayPhase::Open(answer.response);
            }
            Err(reply) => {
                if let ReplyBody::Whole(body) = reply.body {
                    self.ready.push_back(error_event(&body));
                }
                self.phase = RelayPhase::Failed;
            }
        }
    }

    fn fail(&mut self, event: AttemptEvent) {
        let outcome = match self.driver.handle(event) {
            RetryStep::Finish(outcome) => outcome,
            _ => RequestOutcome::Unknown(UnknownReason::DeadlinePassed),
        };
        self.driver.finish(outcome);
        self.ready
            .push_back(OutcomeReply::from(outcome).error_event());
        self.phase = RelayPhase::Failed;
    }
}

fn error_event(body: &Bytes) -> Bytes {
    let text = String::from_utf8_lossy(body);
    Bytes::from(format!("event: error\ndata: {text}\n\n"))
}
