//! One run of a target.

use briarrail_model::{StableHash, hash_bytes, hash_pair};

use crate::TargetRecord;

/// Identifies one run of a target; the same on all routers.
///
/// A target that starts again, or that is found at another address or in another service, is another
/// one, whatever was said of the earlier run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetLifetime(StableHash);

impl TargetLifetime {
    /// Returns the short form with which routers name the lifetime to each other.
    #[must_use]
    pub const fn short_hash(self) -> u32 {
        self.0.0 as u32
    }
}

impl From<&TargetRecord> for TargetLifetime {
    fn from(record: &TargetRecord) -> Self {
        let id = hash_bytes(record.id.as_bytes());
        let service = hash_bytes(record.service.as_bytes());
        let address = hash_bytes(record.address.to_string().as_bytes());
        let started_at = StableHash(record.started_unix_ms);
        Self(hash_pair(
            hash_pair(id, service),
            hash_pair(address, started_at),
        ))
    }
}
