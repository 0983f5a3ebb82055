//! Runs of chat completion requests.

use std::sync::Mutex;
use std::time::Duration;

use serde_json::json;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::engine::chat_request::ChatRequest;
use crate::engine::slot_queue::StreamSlot;
use crate::engine::token_text;

/// A running completion, whose token times are fixed when it starts.
#[derive(Debug)]
pub(crate) struct StreamRun {
    pub(crate) request: ChatRequest,
    pub(crate) cancel: CancellationToken,
    pub(crate) cached_tokens: u64,
    first_token_at: Instant,
    token_interval: Duration,
    slot: Mutex<Option<StreamSlot>>,
    /// Number of readers registered so far.
    reader_count: Mutex<u64>,
}

impl StreamRun {
    pub(crate) fn new(
        request: ChatRequest,
        cached_tokens: u64,
        time_to_first_token: Duration,
        token_interval: Duration,
        slot: StreamSlot,
    ) -> Self {
        Self {
            request,
            cancel: CancellationToken::new(),
            cached_tokens,
            first_token_at: Instant::now() + time_to_first_token,
            token_interval,
            slot: Mutex::new(Some(slot)),
            reader_count: Mutex::new(0),
        }
    }

    /// Returns the time at which a token is generated.
    pub(crate) fn token_time(&self, index: u64) -> Instant {
        let steps = u32::try_from(index).unwrap_or(u32::MAX);
        self.first_token_at + self.token_interval * steps
    }

    /// Returns the server-sent event of a token.
    pub(crate) fn token_event(&self, index: u64) -> String {
        let is_last = index + 1 == self.request.completion_tokens;
        let chunk = json!({
            "id": self.completion_id(),
            "object": "chat.completion.chunk",
            "model": self.request.model,
            "choices": [{
                "index": 0,
                "delta": { "content": token_text(self.request.seed, index) },
                "finish_reason": is_last.then_some("length"),
            }],
        });
        format!("id: {index}\ndata: {chunk}\n\n")
    }

    /// Returns the body of a response that isn't streamed.
    pub(crate) fn completion(&self) -> serde_json::Value {
        let tokens =
            (0..self.request.completion_tokens).map(|index| token_text(self.request.seed, index));
        let content: String = tokens.collect();
        json!({
            "id": self.completion_id(),
            "object": "chat.completion",
            "model": self.request.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": content },
                "finish_reason": "length",
            }],
            "usage": {
                "prompt_tokens": self.request.prompt_tokens,
                "completion_tokens": self.request.completion_tokens,
            },
        })
    }

    /// Registers a reader, which supersedes all earlier ones, and returns its number.
    pub(crate) fn attach_reader(&self) -> u64 {
        let mut readers = self.reader_count.lock().expect("mutex is not poisoned");
        *readers += 1;
        *readers
    }

    /// Returns whether no later reader has been registered.
    pub(crate) fn is_latest_reader(&self, reader: u64) -> bool {
        *self.reader_count.lock().expect("mutex is not poisoned") == reader
    }

    /// Releases the stream slot; does nothing if it is already released.
    pub(crate) fn release_slot(&self) {
        let slot = self.slot.lock().expect("mutex is not poisoned").take();
        drop(slot);
    }

    fn completion_id(&self) -> String {
        format!("chatcmpl-{}", self.request.request_id)
    }
}
