//! The routers of the fleet, as another part of this router knows them.

use briarrail_model::StableHash;

/// The routers of the fleet that this router knows at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterList {
    /// Hash of this router's name.
    pub local: StableHash,
    /// Hashes of the names of all known routers, including this one.
    pub routers: Vec<StableHash>,
    /// Whether the list comes from the store or from a router that knows the fleet, rather than from
    /// single calls.
    pub is_complete: bool,
    /// Whether the store or another router was heard from recently.
    pub is_in_touch: bool,
}
