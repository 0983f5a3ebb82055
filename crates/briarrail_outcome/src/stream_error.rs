//! What is wrong with a target's stream.

use thiserror::Error;

/// What is wrong with a target's stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum StreamError {
    /// The echoed request id is missing or belongs to another request.
    #[error("the echoed request id is missing or belongs to another request")]
    WrongRequest,
    /// An event is larger than the limit.
    #[error("an event is larger than {limit} bytes")]
    EventTooLarge {
        /// Limit in bytes.
        limit: usize,
    },
    /// Events are missing before an event.
    #[error("event {found} came where event {expected} was due")]
    MissingEvents {
        /// Id that was due.
        expected: u64,
        /// Id that came.
        found: u64,
    },
    /// An event has no id where ids are needed, or an id where there were none.
    #[error("an event has no id among events with ids, or the other way round")]
    MixedIds,
    /// An id is not a number.
    #[error("an event id is not a number")]
    BadId,
    /// The target reported an error inside the stream.
    #[error("the target reported an error inside the stream")]
    TargetError,
    /// The stream ended before its terminal event.
    #[error("the stream ended before its terminal event")]
    Unfinished,
}
