//! Relaying and resumption of event streams.

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

use super::{CallDriver, ReplyBody, TargetResponse};

const ABORT_DELAY: Duration = Duration::from_millis(100);

/// State of a relay.
#[derive(Debug)]
enum RelayPhase {
    /// The target may send more events.
    Open(Response),
    /// The terminal event was relayed.
    Complete,
    /// The stream can't be completed; an error event is queued for the caller.
    Failed,
}

/// Relays the events of one response and resumes it after an interruption.
///
/// The next chunk is read only after the caller has consumed the previous one.
#[derive(Debug)]
pub(crate) struct EventRelay {
    driver: CallDriver,
    checker: StreamChecker,
    pending: VecDeque<Bytes>,
    phase: RelayPhase,
}

impl EventRelay {
    /// Creates the relay of a response whose head was received.
    pub(crate) fn new(mut driver: CallDriver, response: TargetResponse) -> Self {
        driver.handle(AttemptEvent::HeadReceived);
        Self {
            driver,
            checker: StreamChecker::new(),
            pending: VecDeque::new(),
            phase: RelayPhase::Open(response.inner),
        }
    }

    /// Returns the relay as the body of a reply.
    pub(crate) fn into_body(self) -> ReplyBody {
        ReplyBody::Streamed(self.into_stream())
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
            if let Some(bytes) = self.pending.pop_front() {
                return Some(Ok(bytes));
            }
            match &mut self.phase {
                RelayPhase::Open(response) => {
                    let read = response.chunk();
                    let read = tokio::time::timeout_at(self.driver.deadline(), read).await;
                    match read {
                        Ok(Ok(Some(chunk))) => self.handle_chunk(chunk).await,
                        Ok(Ok(None) | Err(_)) => self.resume().await,
                        Err(_) => self.fail(AttemptEvent::DeadlinePassed),
                    }
                }
                RelayPhase::Complete => return None,
                RelayPhase::Failed => {
                    // Aborting at once would discard an error event that is not flushed yet.
                    tokio::time::sleep(ABORT_DELAY).await;
                    let message = "the event stream can't be completed";
                    return Some(Err(io::Error::new(io::ErrorKind::BrokenPipe, message)));
                }
            }
        }
    }

    /// Queues the complete events of a chunk and handles the end or an error of the stream.
    async fn handle_chunk(&mut self, chunk: Bytes) {
        let mut runs = Vec::new();
        let before = self.checker.resume_offset().unwrap_or_default();
        let result = self.checker.push(chunk, &mut runs);
        if !runs.is_empty() {
            // A run may hold several events; without ids, each run is counted as one event.
            let id_count = self.checker.resume_offset().map(|after| after - before);
            let now = self.driver.now();
            self.driver
                .recorder
                .record_events(id_count.unwrap_or(runs.len() as u64), now);
            self.pending.extend(runs);
        }
        match result {
            Ok(StreamState::Open) => {}
            Ok(StreamState::Complete) => self.complete(),
            Err(error) => {
                let request_id = &self.driver.request.id;
                tracing::warn!(%request_id, fault = %error, "traffic: invalid event stream");
                self.resume().await;
            }
        }
    }

    fn complete(&mut self) {
        self.driver.complete_streamed(StatusCode::OK.as_u16());
        self.phase = RelayPhase::Complete;
    }

    /// Resumes an interrupted stream, or queues an error event for the caller.
    async fn resume(&mut self) {
        self.checker.discard_partial();
        let resume_at = self.checker.resume_offset();
        loop {
            let event = AttemptEvent::BodyBroken { resume_at };
            match self.driver.continue_after(event).await {
                Ok(response) if response.continues_stream() => {
                    self.driver.handle(AttemptEvent::HeadReceived);
                    self.phase = RelayPhase::Open(response.inner);
                    return;
                }
                Ok(response) => {
                    let request_id = &self.driver.request.id;
                    let status = response.inner.status().as_u16();
                    tracing::warn!(%request_id, status, "traffic: response is not the rest of the stream");
                }
                Err(reply) => {
                    if let ReplyBody::Complete(body) = reply.body {
                        self.pending.push_back(error_event(&body));
                    }
                    self.phase = RelayPhase::Failed;
                    return;
                }
            }
        }
    }

    fn fail(&mut self, event: AttemptEvent) {
        let outcome = match self.driver.handle(event) {
            RetryStep::Finish(outcome) => outcome,
            _ => RequestOutcome::Unknown(UnknownReason::DeadlinePassed),
        };
        self.driver.finish(outcome);
        self.pending
            .push_back(OutcomeReply::from(outcome).error_event());
        self.phase = RelayPhase::Failed;
    }
}

fn error_event(body: &Bytes) -> Bytes {
    let text = String::from_utf8_lossy(body);
    Bytes::from(format!("event: error\ndata: {text}\n\n"))
}
