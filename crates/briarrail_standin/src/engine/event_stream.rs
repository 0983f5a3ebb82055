//! The body of a streamed answer.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream::{Stream, unfold};

use crate::engine::engine_state::EngineState;
use crate::engine::stream_run::StreamRun;

const TERMINAL_EVENT: &str = "data: [DONE]\n\n";

/// Faults that strike one streamed answer.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StreamFaults {
    /// Events after which the connection is closed.
    pub(crate) cut_after: Option<u64>,
    /// Events after which the answer ends cleanly, without its terminal event.
    pub(crate) end_after: Option<u64>,
    /// Events after which nothing more is sent.
    pub(crate) stall_after: Option<u64>,
    /// Whether each event is sent twice.
    pub(crate) repeats: bool,
}

/// One reader of a stream.
pub(crate) struct EventReader {
    state: Arc<EngineState>,
    run: Arc<StreamRun>,
    reader: u64,
    faults: StreamFaults,
    next: u64,
    sent: u64,
    is_done: bool,
}

impl EventReader {
    /// Makes a reader that starts at a token.
    pub(crate) fn new(
        state: Arc<EngineState>,
        run: Arc<StreamRun>,
        faults: StreamFaults,
        start: u64,
    ) -> Self {
        let reader = run.attach();
        Self {
            state,
            run,
            reader,
            faults,
            next: start,
            sent: 0,
            is_done: false,
        }
    }

    /// Returns the events as the body of an answer.
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
        if self.faults.end_after == Some(self.sent) {
            return None;
        }
        if self.faults.cut_after == Some(self.sent) {
            self.is_done = true;
            // While the body is pending, the server writes out the events sent so far.
            tokio::task::yield_now().await;
            return Some(Err(io::Error::other("cut by a fault")));
        }
        if self.faults.stall_after == Some(self.sent) {
            std::future::pending::<()>().await;
        }
        if self.next >= self.run.call.tokens {
            self.finish();
            return Some(Ok(Bytes::from_static(TERMINAL_EVENT.as_bytes())));
        }
        let due = self.run.due(self.next);
        tokio::select! {
            () = self.run.cancel.cancelled() => {
                self.is_done = true;
                return Some(Err(io::Error::other("cancelled")));
            }
            () = tokio::time::sleep_until(due) => {}
        }
        Some(Ok(self.take_event()))
    }

    fn take_event(&mut self) -> Bytes {
        let mut event = self.run.event(self.next);
        if self.faults.repeats {
            event = event.repeat(2);
        }
        self.next += 1;
        self.sent += 1;
        event.into()
    }

    fn finish(&mut self) {
        self.is_done = true;
        self.state.finish(&self.run);
    }
}

impl Drop for EventReader {
    fn drop(&mut self) {
        self.state.detach(&self.run, self.reader);
    }
}
