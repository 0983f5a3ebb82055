//! Counts of an engine.

use serde::{Deserialize, Serialize};

/// Counts of an engine since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineCounts {
    /// Requests that ran.
    pub runs: u64,
    /// Runs whose response was completed.
    pub finished: u64,
    /// Runs that were cancelled, by request or because the client didn't resume the stream in time.
    pub cancelled: u64,
    /// Resumes of a stream that the engine still held.
    pub resumed: u64,
    /// Requests rejected before they ran.
    pub refused: u64,
    /// Prompt tokens of all runs.
    pub prompt_tokens: u64,
    /// Prompt tokens of all runs that were found in the prefix cache.
    pub cached_tokens: u64,
    /// Maximum number of concurrent streams.
    pub peak_streams: u64,
}
