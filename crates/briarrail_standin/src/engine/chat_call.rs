//! Chat-completions requests.

use serde::Deserialize;
use xxhash_rust::xxh3::Xxh3;

use crate::engine::completion_seed;
use crate::server::StandinCall;
use crate::{CHAT_ID_HEADER, PRIORITY_HEADER, REQUEST_ID_HEADER};

const DEFAULT_MAX_TOKENS: u64 = 16;
const BYTES_PER_TOKEN: usize = 4;
const DEFERRABLE: &str = "deferrable";

/// Body of a chat-completions request, as far as the stand-in reads it.
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

/// A chat-completions request with what its headers say.
#[derive(Debug, Clone)]
pub(crate) struct ChatCall {
    pub(crate) request_id: String,
    pub(crate) model: String,
    pub(crate) is_streamed: bool,
    pub(crate) is_deferrable: bool,
    pub(crate) tokens: u64,
    pub(crate) seed: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) cache_key: String,
    /// Last event that the caller has seen, when it resumes a stream.
    pub(crate) resume_after: Option<u64>,
}

impl ChatCall {
    /// Reads a request, or says what is wrong with it.
    pub(crate) fn read(call: &StandinCall, unnamed: u64) -> Result<Self, String> {
        let body: ChatBody =
            serde_json::from_slice(&call.body).map_err(|error| error.to_string())?;
        let request_id = call.header(REQUEST_ID_HEADER).map(str::to_owned);
        let chat_id = call.header(CHAT_ID_HEADER).map(str::to_owned);
        let contents = body.messages.iter().map(|message| message.content.len());
        let last_event = call.header("last-event-id");
        let resume_after = last_event.map(|id| id.parse().map_err(|_| "malformed last-event-id"));
        Ok(Self {
            request_id: request_id.unwrap_or_else(|| format!("unnamed-{unnamed}")),
            model: body.model,
            is_streamed: body.stream,
            is_deferrable: call.header(PRIORITY_HEADER) == Some(DEFERRABLE),
            tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            seed: completion_seed(&call.body),
            prompt_tokens: contents.sum::<usize>().div_ceil(BYTES_PER_TOKEN) as u64,
            cache_key: chat_id.unwrap_or_else(|| first_message_key(&body.messages)),
            resume_after: resume_after.transpose()?,
        })
    }
}

/// Returns a digest of the first message, which all requests of a chat share.
fn first_message_key(messages: &[ChatMessage]) -> String {
    let mut hasher = Xxh3::new();
    if let Some(message) = messages.first() {
        hasher.update(message.role.as_bytes());
        hasher.update(message.content.as_bytes());
    }
    format!("prefix-{:016x}", hasher.digest())
}
