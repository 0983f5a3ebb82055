//! A router that answered a question about a stream.

use briarrail_dispatch::ReleaseUser;

/// A router that answered a question about a stream.
#[derive(Debug, Clone)]
pub(super) struct LiveRouter {
    /// The router process.
    pub(super) user: ReleaseUser,
    /// Whether it knows of a router that may have been lost with streams under way.
    pub(super) knows_lost_router: bool,
}
