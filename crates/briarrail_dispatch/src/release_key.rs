//! Key of a software release of a service's targets.

use briarrail_model::{StableHash, hash_bytes, hash_pair};

/// Identifies a software release of a service's targets; the same on all routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReleaseKey(pub StableHash);

impl ReleaseKey {
    /// Returns the key of a version of a service's targets.
    #[must_use]
    pub fn new(service: &str, version: &str) -> Self {
        let service = hash_bytes(service.as_bytes());
        Self(hash_pair(service, hash_bytes(version.as_bytes())))
    }
}
