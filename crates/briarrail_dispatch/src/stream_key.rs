//! Key of a stream over all attempts of its caller.

use briarrail_model::{StableHash, hash_bytes};

/// Identifies a stream over all attempts of its caller; the same on all routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(pub StableHash);

impl StreamKey {
    /// Returns the key of the stream whose first event the attempt with this identifier brought.
    #[must_use]
    pub fn new(attempt_id: &[u8]) -> Self {
        Self(hash_bytes(attempt_id))
    }
}
