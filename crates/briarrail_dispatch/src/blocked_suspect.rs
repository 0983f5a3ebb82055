//! A blocked prompt part.

use briarrail_model::{MilliTime, StableHash};

/// A blocked part, for the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockedSuspect {
    /// Hash of the part's identifier.
    pub part: StableHash,
    /// End of the block.
    pub until: MilliTime,
}
