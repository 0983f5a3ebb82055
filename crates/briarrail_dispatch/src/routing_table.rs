//! Looks up the route and the customer of a request.

use std::collections::HashMap;

use briarrail_model::{StableHash, hash_bytes, hash_pair};

use crate::{CallerLimits, CustomerConfig, RouteConfig, ServiceConfig, SiteConfig};

const SHARE_SELECTION_SALT: StableHash = StableHash(0x7368_6172_6573);

/// Names a route of one [`RoutingTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RouteKey(usize);

/// The answer of a lookup.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteLookup<'t> {
    /// The request is allowed.
    Found {
        /// Key of the route.
        route: RouteKey,
        /// Customer whose key the caller holds; none on routes without keys.
        customer: Option<&'t CustomerConfig>,
    },
    /// No route takes the host and path.
    NoRoute,
    /// The route wants a key, and the caller's is missing or unknown.
    UnknownKey,
}

/// A configuration with its indexes.
#[derive(Debug, Clone)]
pub struct RoutingTable {
    config: SiteConfig,
    /// Routes of each host, longest prefix first.
    routes_by_host: HashMap<String, Vec<usize>>,
    customers_by_key: HashMap<String, usize>,
    services_by_name: HashMap<String, usize>,
}

impl RoutingTable {
    /// Indexes a configuration.
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

    /// Returns the limits on callers.
    #[must_use]
    pub const fn limits(&self) -> CallerLimits {
        self.config.limits
    }

    /// Returns the configuration itself.
    #[must_use]
    pub const fn config(&self) -> &SiteConfig {
        &self.config
    }

    /// Returns a route.
    ///
    /// # Panics
    ///
    /// Panics when the key comes from another table.
    #[must_use]
    pub fn route(&self, key: RouteKey) -> &RouteConfig {
        &self.config.routes[key.0]
    }

    /// Returns what the configuration says of a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        let index = self.services_by_name.get(name)?;
        self.config.services.get(*index)
    }

    /// Finds the route with the longest prefix of the path, and the customer behind the key.
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
        let requires_key =
            !self.config.customers.is_empty() && !self.config.routes[index].is_public;
        if requires_key && customer.is_none() {
            return RouteLookup::UnknownKey;
        }
        RouteLookup::Found {
            route: RouteKey(index),
            customer,
        }
    }

    /// Returns the service that takes a request of a route.
    ///
    /// All routers choose alike for one request identifier, in proportion to the weights.
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
