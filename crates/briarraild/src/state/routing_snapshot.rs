//! What traffic threads route by.

use std::collections::HashMap;
use std::sync::Arc;

use briarrail_model::{ConfigSnapshot, HostEntry, RequestAttributes, RouteIndex, RouteRow};

use super::PoolEntry;

/// Immutable state that traffic threads route by.
#[derive(Debug, Clone, Default)]
pub(crate) struct RoutingSnapshot {
    /// The tables in force; sequence number 0 before the first.
    pub(crate) config: Arc<ConfigSnapshot>,
    /// Index over the routes in force.
    pub(crate) index: Arc<RouteIndex>,
    /// Whether the fleet part has confirmed the tables since the start.
    pub(crate) is_ready: bool,
    /// Pools by name.
    pub(crate) pools: HashMap<String, Arc<PoolEntry>>,
    /// Live routers, this one included, in the order of their names.
    pub(crate) routers: Arc<[HostEntry]>,
}

/// The route and pool of a request.
#[derive(Debug, Clone)]
pub(crate) struct RouteMatch {
    /// Route that takes the request.
    pub(crate) route: Arc<RouteRow>,
    /// Pool that serves it.
    pub(crate) pool: Arc<PoolEntry>,
}

impl RoutingSnapshot {
    /// Finds route and pool of a request.
    pub(crate) fn find_route(&self, facts: &RequestAttributes<'_>) -> Option<RouteMatch> {
        let route = self.index.route_for(&self.config.tables, facts)?;
        let pool = self.pools.get(&route.pool)?;
        Some(RouteMatch {
            route: Arc::new(route.clone()),
            pool: Arc::clone(pool),
        })
    }
}
