//! Location of a router and size of its fleet.

use briarrail_model::StableHash;

/// Location of this router, and the number of routers that share the load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouterTopology {
    /// Hash of the router's data centre.
    pub data_centre: StableHash,
    /// Hash of the router's region.
    pub region: StableHash,
    /// Live routers that send to the pool, this one included; at least 1.
    pub router_count: u32,
}
