//! Errors in a target's event stream.

use thiserror::Error;

/// An error in a target's event stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum StreamError {
    /// The echoed request id is missing or belongs to another request.
    #[error("the echoed request id is missing or belongs to another request")]
    WrongRequest,
    /// An event exceeds the size limit.
    #[error("an event exceeds the limit of {limit} bytes")]
    EventTooLarge {
        /// Limit in bytes.
        limit: usize,
    },
    /// An event id is higher than expected, so events are missing before it.
    #[error("expected event id {expected}, found {found}")]
    MissingEvents {
        /// Expected id.
        expected: u64,
        /// Id that was received.
        found: u64,
    },
    /// A response to a resumption does not begin with the next event.
    #[error("the response does not continue with event id {expected}")]
    NotContinued {
        /// Id of the next event.
        expected: u64,
    },
    /// Some events have ids and others don't.
    #[error("the stream mixes events with and without ids")]
    MixedIds,
    /// An event id is not a number.
    #[error("an event id is not a number")]
    BadId,
    /// The target reported an error inside the stream.
    #[error("the target reported an error inside the stream")]
    TargetError,
    /// The stream ended before its terminal event.
    #[error("the stream ended before its terminal event")]
    Unfinished,
}
