//! Chat completion requests.

use serde::Deserialize;
use xxhash_rust::xxh3::Xxh3;

use crate::engine::completion_seed;
use crate::server::StandinRequest;
use crate::{CHAT_ID_HEADER, PRIORITY_HEADER, REQUEST_ID_HEADER};

const DEFAULT_MAX_TOKENS: u64 = 16;
const BYTES_PER_TOKEN: usize = 4;
const DEFERRABLE_PRIORITY: &str = "deferrable";

/// The fields of a chat completion request that the stand-in reads.
#[derive(Debug, Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<ChatMessage>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    role: String,
    content: String,
}

/// A chat completion request, from its body and headers.
#[derive(Debug, Clone)]
pub(crate) struct ChatRequest {
    pub(crate) request_id: String,
    pub(crate) model: String,
    pub(crate) is_streamed: bool,
    pub(crate) is_deferrable: bool,
    pub(crate) completion_tokens: u64,
    /// Seed of the completion's tokens.
    pub(crate) seed: u64,
    pub(crate) prompt_tokens: u64,
    /// Key of the prompt in the prefix cache.
    pub(crate) cache_key: String,
    /// ID of the last event that the client received, if it resumes a stream.
    pub(crate) resume_after: Option<u64>,
}

impl ChatRequest {
    /// Parses a request; fails with a message for the client.
    ///
    /// A request without an ID gets one from `sequence`.
    pub(crate) fn parse(request: &StandinRequest, sequence: u64) -> Result<Self, String> {
        let body: ChatBody =
            serde_json::from_slice(&request.body).map_err(|error| error.to_string())?;
        let request_id = request.header(REQUEST_ID_HEADER).map(str::to_owned);
        let chat_id = request.header(CHAT_ID_HEADER).map(str::to_owned);
        let content_lengths = body.messages.iter().map(|message| message.content.len());
        let last_event = request.header("last-event-id");
        let resume_after = last_event.map(|id| id.parse().map_err(|_| "malformed last-event-id"));
        Ok(Self {
            request_id: request_id.unwrap_or_else(|| format!("unnamed-{sequence}")),
            model: body.model,
            is_streamed: body.stream,
            is_deferrable: request.header(PRIORITY_HEADER) == Some(DEFERRABLE_PRIORITY),
            completion_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            seed: completion_seed(&request.body),
            prompt_tokens: content_lengths.sum::<usize>().div_ceil(BYTES_PER_TOKEN) as u64,
            cache_key: chat_id.unwrap_or_else(|| first_message_key(&body.messages)),
            resume_after: resume_after.transpose()?,
        })
    }
}

/// Returns a cache key from a digest of the first message, which all requests of a chat share.
fn first_message_key(messages: &[ChatMessage]) -> String {
    let mut hasher = Xxh3::new();
    if let Some(message) = messages.first() {
        hasher.update(message.role.as_bytes());
        hasher.update(message.content.as_bytes());
    }
    format!("prefix-{:016x}", hasher.digest())
}
