//! Prefix cache events.

use serde::{Deserialize, Serialize};

/// Kind of a prefix cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The prefix was stored or extended.
    Stored,
    /// The prefix was evicted.
    Evicted,
}

/// A prefix cache event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; a gap means that events were lost.
    pub sequence: u64,
    /// Kind of the event.
    pub kind: CacheEventKind,
    /// Key of the prefix: the chat ID, or a digest of the first message for a chat without one.
    pub prefix: String,
    /// Length of the prefix in tokens.
    pub tokens: u64,
}

/// A page of cache events.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventPage {
    /// Events, oldest first.
    pub events: Vec<CacheEvent>,
}
