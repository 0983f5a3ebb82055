//! What a target is listed as.

use briarrail_model::{StableHash, hash_bytes, hash_pair};

use crate::TargetRecord;

/// Identifies what a target is listed as: a run of it, at an address, in a service.
///
/// What was measured of a target holds for one listing. What the target said holds for its
/// [`TargetRun`](crate::TargetRun), whatever its entry names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetLifetime(StableHash);

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
