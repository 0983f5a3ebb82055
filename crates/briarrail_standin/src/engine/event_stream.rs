//! Body of a streamed response.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream::{Stream, unfold};

use crate::engine::engine_state::EngineState;
use crate::engine::stream_run::StreamRun;

const TERMINAL_EVENT: &str = "data: [DONE]\n\n";

/// Faults that are injected into one streamed response.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StreamFaults {
    /// Number of events after which the connection is closed.
    pub(crate) cut_after: Option<u64>,
    /// Number of events after which the response ends without an error or a terminal event.
    pub(crate) end_after: Option<u64>,
    /// Number of events after which nothing more is sent.
    pub(crate) stall_after: Option<u64>,
    /// Whether each event is sent twice.
    pub(crate) repeat_events: bool,
}

/// Reader of the events of a run.
pub(crate) struct EventReader {
    state: Arc<EngineState>,
    run: Arc<StreamRun>,
    reader_number: u64,
    faults: StreamFaults,
    next_token: u64,
    sent_events: u64,
    is_done: bool,
}

impl EventReader {
    /// Registers a reader that starts at the token with index `start`.
    pub(crate) fn new(
        state: Arc<EngineState>,
        run: Arc<StreamRun>,
        faults: StreamFaults,
        start: u64,
    ) -> Self {
        let reader_number = run.attach_reader();
        Self {
            state,
            run,
            reader_number,
            faults,
            next_token: start,
            sent_events: 0,
            is_done: false,
        }
    }

    /// Returns the events as the stream of a response body.
    pub(crate) fn into_stream(self) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
        unfold(self, |mut reader| async move {
            let item = reader.next_item().await?;
            Some((item, reader))
        })
    }

    async fn next_item(&mut self) -> Option<io::Result<Bytes>> {
        if self.is_done {
            return None;
        }
        if self.faults.end_after == Some(self.sent_events) {
            return None;
        }
        if self.faults.cut_after == Some(self.sent_events) {
            self.is_done = true;
            // The server flushes the events sent so far while the body is pending.
            tokio::task::yield_now().await;
            return Some(Err(io::Error::other(
                "connection closed by an injected fault",
            )));
        }
        if self.faults.stall_after == Some(self.sent_events) {
            std::future::pending::<()>().await;
        }
        if self.next_token >= self.run.request.completion_tokens {
            self.finish();
            return Some(Ok(Bytes::from_static(TERMINAL_EVENT.as_bytes())));
        }
        let token_time = self.run.token_time(self.next_token);
        tokio::select! {
            () = self.run.cancel.cancelled() => {
                self.is_done = true;
                return Some(Err(io::Error::other("stream cancelled")));
            }
            () = tokio::time::sleep_until(token_time) => {}
        }
        Some(Ok(self.produce_event()))
    }

    fn produce_event(&mut self) -> Bytes {
        let mut event = self.run.token_event(self.next_token);
        if self.faults.repeat_events {
            event = event.repeat(2);
        }
        self.next_token += 1;
        self.sent_events += 1;
        event.into()
    }

    fn finish(&mut self) {
        self.is_done = true;
        self.state.finish_run(&self.run);
    }
}

impl Drop for EventReader {
    fn drop(&mut self) {
        self.state.detach_reader(&self.run, self.reader_number);
    }
}
