//! A router process that may begin streams at a guarded release.

use briarrail_model::HostName;

/// Identifies a router process that may begin streams at a guarded release.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReleaseUser {
    /// Name of the router.
    pub router: HostName,
    /// Incarnation of its process; a router that starts again is another user.
    pub incarnation: u64,
}
