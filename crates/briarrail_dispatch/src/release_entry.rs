//! Entry of a release in the store.

use crate::ServiceRelease;

/// A release that the store lists as a possible origin of streams.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReleaseEntry {
    /// The release.
    pub release: ServiceRelease,
    /// Whether routers begin streams at it only after the store has listed them as its users.
    pub is_guarded: bool,
}
