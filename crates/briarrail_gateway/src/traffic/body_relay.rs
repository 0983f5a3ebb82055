//! Relays a plain response whose body is too large to be read before it is sent.

use std::rc::Rc;

use briarrail_dispatch::SendOutcome;
use bytes::Bytes;
use http::Response;

use super::caller_response::caller_response;
use super::chunk_sender::ChunkSender;
use super::request_context::RequestContext;
use super::request_trace::RequestTrace;
use super::response_body::{ResponseBody, StreamCompletion};
use super::stream_relay::{BodyRead, read_body_chunk};
use super::target_response::TargetResponse;
use super::traffic_state::TrafficState;

/// The part of a body that was read before it was known to be too large to be held.
#[derive(Debug)]
pub(super) struct BegunBody {
    /// The part that was held, and is charged.
    pub(super) start: Bytes,
    /// The chunk that did not fit.
    pub(super) next: Bytes,
}

/// Relays the body of a response as fast as its caller takes it.
///
/// The caller has a part of the response, so a failure breaks it off visibly.
pub(super) struct BodyRelay<D> {
    pub(super) state: Rc<TrafficState<D>>,
    pub(super) context: Rc<RequestContext>,
    pub(super) trace: RequestTrace<D>,
    pub(super) response: Box<TargetResponse<D>>,
}

impl<D> BodyRelay<D>
where
    D: 'static,
{
    /// Starts the response to the caller, of whose body `begun` was read.
    pub(super) fn start(mut self, begun: BegunBody) -> Response<ResponseBody> {
        self.response.guard.record_event();
        self.response.guard.record_outcome(SendOutcome::Good);
        let elapsed = self.response.guard.elapsed();
        self.state
            .record_response_time(&self.context.route, elapsed);
        let (chunk_sender, chunks) = ChunkSender::channel(&self.context.hold);
        let completion = StreamCompletion::default();
        let length = self.response.announced_length();
        let body = ResponseBody::stream(chunks, completion.clone()).with_length(length);
        let relayed = caller_response(&self.response.head, body);
        tokio::task::spawn_local(self.run(begun, chunk_sender, completion));
        relayed
    }

    async fn run(
        mut self,
        begun: BegunBody,
        chunk_sender: ChunkSender,
        completion: StreamCompletion,
    ) {
        let mut sent_bytes = 0;
        let relaying = self.relay(begun, &chunk_sender, &mut sent_bytes);
        let mut end = tokio::select! {
            biased;
            end = relaying => end,
            () = chunk_sender.closed() => None,
        };
        // The HTTP library drops a body of known length with its last byte.
        if end.is_none() && self.response.announced_length() == Some(sent_bytes) {
            end = Some(self.read().await);
        }
        let status = self.response.head.status.as_u16();
        match end {
            Some(BodyRead::End) => {
                completion.record();
                self.response.guard.record_completion();
                self.state.metrics.count_send(&self.context.service, "good");
                self.response.release_connection(&self.state);
                self.trace.set_outcome("answered", "", status);
            }
            Some(BodyRead::Interrupted(detail)) => {
                self.trace.send_log().record_failure("body_broke", &detail);
                self.response.guard.record_connection_loss();
                self.trace.set_outcome("cut", "connection lost", status);
            }
            Some(BodyRead::DeadlinePassed) => {
                self.trace.set_outcome("cut", "deadline passed", status);
            }
            Some(BodyRead::Chunk(_)) | None => self.response.guard.ignore_outcome(),
        }
    }

    /// Relays the body and returns how it ended, or `None` if the caller has left.
    async fn relay(
        &mut self,
        begun: BegunBody,
        chunk_sender: &ChunkSender,
        sent_bytes: &mut u64,
    ) -> Option<BodyRead> {
        let BegunBody { start, next } = begun;
        *sent_bytes += (start.len() + next.len()) as u64;
        chunk_sender.send_charged(start).await.ok()?;
        chunk_sender.send(next).await.ok()?;
        loop {
            match self.read().await {
                BodyRead::Chunk(chunk) => {
                    *sent_bytes += chunk.len() as u64;
                    chunk_sender.send(chunk).await.ok()?;
                }
                end => return Some(end),
            }
        }
    }

    async fn read(&mut self) -> BodyRead {
        let body = &mut self.response.body;
        read_body_chunk(&self.state, body, self.context.deadline).await
    }
}
