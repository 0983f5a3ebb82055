//! Counts of what an engine did.

use serde::{Deserialize, Serialize};

/// What an engine did since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineCounts {
    /// Requests that ran.
    pub runs: u64,
    /// Runs that were read to their end.
    pub finished: u64,
    /// Runs that were cancelled, or given up when no reader came back.
    pub cancelled: u64,
    /// Resumes of a stream that was held.
    pub resumed: u64,
    /// Requests refused before running.
    pub refused: u64,
    /// Tokens of all prompts.
    pub prompt_tokens: u64,
    /// Tokens of all prompts that were found in the prefix cache.
    pub cached_tokens: u64,
    /// Most streams that ran at once.
    pub peak_streams: u64,
}
