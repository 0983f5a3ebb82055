//! Looks up the route and the customer of a request.

use std::collections::HashMap;

use briarrail_model::{StableHash, hash_bytes, hash_pair};

use crate::{CallerLimits, CustomerRow, RouteRules, ServiceRules, SiteConfig};

const SHARE_SALT: StableHash = StableHash(0x7368_6172_6573);

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
        customer: Option<&'t CustomerRow>,
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
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, usize>,
    services: HashMap<String, usize>,
}

impl RoutingTable {
    /// Indexes a configuration.
    #[must_use]
    pub fn new(config: SiteConfig) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(index);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|&index| std::cmp::Reverse(config.routes[index].path_prefix.len()));
        }
        let mut by_key = HashMap::new();
        for (index, customer) in config.customers.iter().enumerate() {
            by_key.extend(customer.keys.iter().map(|key| (key.clone(), index)));
        }
        let services = config.services.iter().enumerate();
        let services = services.map(|(index, service)| (service.name.clone(), index));
        Self {
            services: services.collect(),
            by_host,
            by_key,
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
    pub fn route(&self, key: RouteKey) -> &RouteRules {
        &self.config.routes[key.0]
    }

    /// Returns what the configuration says of a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceRules> {
        let index = self.services.get(name)?;
        self.config.services.get(*index)
    }

    /// Finds the route with the longest prefix of the path, and the customer behind the key.
    #[must_use]
    pub fn look_up(&self, host: &str, path: &str, key: Option<&str>) -> RouteLookup<'_> {
        let host = host.to_ascii_lowercase();
        let routes = self.by_host.get(&host).map_or(&[][..], Vec::as_slice);
        let matches = |&&index: &&usize| path.starts_with(&self.config.routes[index].path_prefix);
        let Some(&index) = routes.iter().find(matches) else {
            return RouteLookup::NoRoute;
        };
        let customer = key
            .and_then(|key| self.by_key.get(key))
            .map(|&index| &self.config.customers[index]);
        let wants_key = !self.config.customers.is_empty() && !self.config.routes[index].is_public;
        if wants_key && customer.is_none() {
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
        let total: u64 = shares.iter().map(|share| u64::from(share.weight)).sum();
        if total == 0 {
            return shares.first().map(|share| share.service.as_str());
        }
        let mut draw = hash_pair(hash_bytes(request_id), SHARE_SALT).0 % total;
        for share in shares {
            let weight = u64::from(share.weight);
            if draw < weight {
                return Some(&share.service);
            }
            draw -= weight;
        }
        None
    }
}
