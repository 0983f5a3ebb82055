//! One process of a target.

use briarrail_model::{StableHash, hash_pair};

use crate::TargetPlace;

/// Identifies one process of a target; the same on all routers that know its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetRun {
    /// Where the process is found.
    pub place: TargetPlace,
    /// Unix time at which it started, in milliseconds; 0 if unknown.
    pub started_unix_ms: u64,
}

impl TargetRun {
    /// Returns the short form with which routers name the run to each other.
    #[must_use]
    pub const fn short_hash(self) -> u32 {
        hash_pair(self.place.0, StableHash(self.started_unix_ms)).0 as u32
    }
}
