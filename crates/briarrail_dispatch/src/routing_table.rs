//! Lookup of the route and the customer of a request.

use std::collections::HashMap;

use briarrail_model::{StableHash, hash_bytes, hash_pair};

use crate::{CallerLimits, CustomerConfig, RouteConfig, ServiceConfig, SiteConfig};

const SHARE_SELECTION_SALT: StableHash = StableHash(0x7368_6172_6573);

/// Identifies a route within one [`RoutingTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RouteKey(usize);

/// Result of a lookup.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteLookup<'t> {
    /// A route matches, and its key requirement is met.
    Found {
        /// Key of the matching route.
        route: RouteKey,
        /// Customer that owns the caller's key; `None` if no known key was sent to a route that
        /// needs none.
        customer: Option<&'t CustomerConfig>,
    },
    /// No route matches the host and path.
    NoRoute,
    /// The route requires a key, and the caller's key is missing or unknown.
    UnknownKey,
}

/// A configuration and its lookup indexes.
#[derive(Debug, Clone)]
pub struct RoutingTable {
    config: SiteConfig,
    /// Indexes of the routes of each host, longest path prefix first.
    routes_by_host: HashMap<String, Vec<usize>>,
    customers_by_key: HashMap<String, usize>,
    services_by_name: HashMap<String, usize>,
}

impl RoutingTable {
    /// Builds the indexes of a configuration.
    #[must_use]
    pub fn new(config: SiteConfig) -> Self {
        let mut routes_by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            routes_by_host.entry(host).or_default().push(index);
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|&index| std::cmp::Reverse(config.routes[index].path_prefix.len()));
        }
        let mut customers_by_key = HashMap::new();
        for (index, customer) in config.customers.iter().enumerate() {
            customers_by_key.extend(customer.keys.iter().map(|key| (key.clone(), index)));
        }
        let services = config.services.iter().enumerate();
        let services = services.map(|(index, service)| (service.name.clone(), index));
        Self {
            services_by_name: services.collect(),
            routes_by_host,
            customers_by_key,
            config,
        }
    }

    /// Returns the version of the configuration.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.config.version
    }

    /// Returns the limits that apply to callers.
    #[must_use]
    pub const fn limits(&self) -> CallerLimits {
        self.config.limits
    }

    /// Returns whether routes that are not public require a key.
    #[must_use]
    pub const fn requires_keys(&self) -> bool {
        self.config.requires_keys || !self.config.customers.is_empty()
    }

    /// Returns the underlying configuration.
    #[must_use]
    pub const fn config(&self) -> &SiteConfig {
        &self.config
    }

    /// Returns a route.
    ///
    /// # Panics
    ///
    /// May panic if the key comes from another table.
    #[must_use]
    pub fn route(&self, key: RouteKey) -> &RouteConfig {
        &self.config.routes[key.0]
    }

    /// Returns the configurations of all services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceConfig> {
        self.config.services.iter()
    }

    /// Returns the configuration of a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        let index = self.services_by_name.get(name)?;
        self.config.services.get(*index)
    }

    /// Finds the route with the longest matching path prefix, and the customer that owns the key.
    #[must_use]
    pub fn look_up(&self, host: &str, path: &str, key: Option<&str>) -> RouteLookup<'_> {
        let host = host.to_ascii_lowercase();
        let routes = self
            .routes_by_host
            .get(&host)
            .map_or(&[][..], Vec::as_slice);
        let matches = |&&index: &&usize| path.starts_with(&self.config.routes[index].path_prefix);
        let Some(&index) = routes.iter().find(matches) else {
            return RouteLookup::NoRoute;
        };
        let customer = key
            .and_then(|key| self.customers_by_key.get(key))
            .map(|&index| &self.config.customers[index]);
        let requires_key = self.requires_keys() && !self.config.routes[index].is_public;
        if requires_key && customer.is_none() {
            return RouteLookup::UnknownKey;
        }
        RouteLookup::Found {
            route: RouteKey(index),
            customer,
        }
    }

    /// Selects the service for a request of a route, in proportion to the weights.
    ///
    /// All routers select the same service for the same request identifier.
    #[must_use]
    pub fn choose_service(&self, route: RouteKey, request_id: &[u8]) -> Option<&str> {
        let shares = &self.route(route).shares;
        let total_weight: u64 = shares.iter().map(|share| u64::from(share.weight)).sum();
        if total_weight == 0 {
            return shares.first().map(|share| share.service.as_str());
        }
        let mut remaining =
            hash_pair(hash_bytes(request_id), SHARE_SELECTION_SALT).0 % total_weight;
        for share in shares {
            let weight = u64::from(share.weight);
            if remaining < weight {
                return Some(&share.service);
            }
            remaining -= weight;
        }
        None
    }
}
