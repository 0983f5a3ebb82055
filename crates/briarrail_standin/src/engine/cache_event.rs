//! Events of the prefix cache.

use serde::{Deserialize, Serialize};

/// What happened to a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The prefix was stored, or grew.
    Stored,
    /// The prefix was evicted.
    Evicted,
}

/// One event of the prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; a gap means that events were lost.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// Key of the prefix: the chat, or a digest of its messages.
    pub prefix: String,
    /// Tokens of the prefix.
    pub tokens: u64,
}

/// A page of cache events.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventPage {
    /// The events that show by now, oldest first.
    pub events: Vec<CacheEvent>,
}
