//! Streams that an engine runs.

use std::sync::Mutex;
use std::time::Duration;

use serde_json::json;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::engine::chat_call::ChatCall;
use crate::engine::slot_queue::StreamSlot;
use crate::engine::token_text;

/// One stream; its tokens fall due at times that are fixed at its start.
#[derive(Debug)]
pub(crate) struct StreamRun {
    pub(crate) call: ChatCall,
    pub(crate) cancel: CancellationToken,
    pub(crate) cached_tokens: u64,
    first_due: Instant,
    interval: Duration,
    slot: Mutex<Option<StreamSlot>>,
    readers: Mutex<u64>,
}

impl StreamRun {
    pub(crate) fn new(
        call: ChatCall,
        cached_tokens: u64,
        first_token: Duration,
        interval: Duration,
        slot: StreamSlot,
    ) -> Self {
        Self {
            call,
            cancel: CancellationToken::new(),
            cached_tokens,
            first_due: Instant::now() + first_token,
            interval,
            slot: Mutex::new(Some(slot)),
            readers: Mutex::new(0),
        }
    }

    /// Returns when a token falls due.
    pub(crate) fn due(&self, index: u64) -> Instant {
        let steps = u32::try_from(index).unwrap_or(u32::MAX);
        self.first_due + self.interval * steps
    }

    /// Returns the event of a token.
    pub(crate) fn event(&self, index: u64) -> String {
        let is_last = index + 1 == self.call.tokens;
        let chunk = json!({
            "id": self.answer_id(),
            "object": "chat.completion.chunk",
            "model": self.call.model,
            "choices": [{
                "index": 0,
                "delta": { "content": token_text(self.call.seed, index) },
                "finish_reason": is_last.then_some("length"),
            }],
        });
        format!("id: {index}\ndata: {chunk}\n\n")
    }

    /// Returns the whole answer as one JSON value.
    pub(crate) fn completion(&self) -> serde_json::Value {
        let tokens = (0..self.call.tokens).map(|index| token_text(self.call.seed, index));
        let content: String = tokens.collect();
        json!({
            "id": self.answer_id(),
            "object": "chat.completion",
            "model": self.call.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": content },
                "finish_reason": "length",
            }],
            "usage": {
                "prompt_tokens": self.call.prompt_tokens,
                "completion_tokens": self.call.tokens,
            },
        })
    }

    /// Registers a reader, who replaces earlier ones, and returns its number.
    pub(crate) fn attach(&self) -> u64 {
        let mut readers = self.readers.lock().expect("no holder panics");
        *readers += 1;
        *readers
    }

    /// Returns whether a reader is the latest one.
    pub(crate) fn is_latest(&self, reader: u64) -> bool {
        *self.readers.lock().expect("no holder panics") == reader
    }

    /// Gives the place of the stream back; later calls do nothing.
    pub(crate) fn release(&self) {
        let slot = self.slot.lock().expect("no holder panics").take();
        drop(slot);
    }

    fn answer_id(&self) -> String {
        format!("chatcmpl-{}", self.call.request_id)
    }
}
