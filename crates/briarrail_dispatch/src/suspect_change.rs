//! Changes of the blocked prompt parts.

use briarrail_model::{MilliTime, StableHash};

/// A change of the blocked parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectChange {
    /// The part is blocked until a time.
    Blocked(StableHash, MilliTime),
    /// The part is not blocked any more, because an answer to a request with it began.
    Released(StableHash),
}
