//! Routing state of the traffic threads.

use std::collections::HashMap;
use std::sync::Arc;

use briarrail_model::{ConfigSnapshot, HostEntry, RequestAttributes, RouteIndex, RouteRow};

use super::PoolEntry;

/// Immutable routing state, which the control thread replaces as a whole.
#[derive(Debug, Clone, Default)]
pub(crate) struct RoutingSnapshot {
    /// Configuration in force; its sequence number is 0 until a configuration is adopted.
    pub(crate) config: Arc<ConfigSnapshot>,
    /// Index of the routes in the configuration.
    pub(crate) route_index: Arc<RouteIndex>,
    /// Whether the fleet node has been ready since the start, with a confirmed configuration.
    pub(crate) is_ready: bool,
    /// Pools by name.
    pub(crate) pools: HashMap<String, Arc<PoolEntry>>,
    /// Live routers, including this one, in the order of the fleet view.
    pub(crate) routers: Arc<[HostEntry]>,
}

/// The route and pool that a request matches.
#[derive(Debug, Clone)]
pub(crate) struct RouteMatch {
    /// Matching route.
    pub(crate) route: Arc<RouteRow>,
    /// Pool of the route.
    pub(crate) pool: Arc<PoolEntry>,
}

impl RoutingSnapshot {
    /// Finds the route and pool of a request.
    pub(crate) fn find_route(&self, attributes: &RequestAttributes<'_>) -> Option<RouteMatch> {
        let route = self
            .route_index
            .route_for(&self.config.tables, attributes)?;
        let pool = self.pools.get(&route.pool)?;
        Some(RouteMatch {
            route: Arc::new(route.clone()),
            pool: Arc::clone(pool),
        })
    }
}
