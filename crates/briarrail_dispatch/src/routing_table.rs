//! Lookup of the route and the customer of a request.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use briarrail_model::{DataCentre, RegionName, StableHash, hash_bytes, hash_pair};

use crate::{CallerLimits, CustomerConfig, HomeSet, RouteConfig, ServiceConfig, SiteConfig};

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
    /// Region of each data centre of the site.
    regions: Arc<BTreeMap<DataCentre, RegionName>>,
}

impl RoutingTable {
    /// Builds the indexes of a configuration for a site without regions.
    #[must_use]
    pub fn new(config: SiteConfig) -> Self {
        Self::with_regions(config, Arc::default())
    }

    /// Builds the indexes of a configuration for a site with a region for each data centre.
    #[must_use]
    pub fn with_regions(
        config: SiteConfig,
        regions: Arc<BTreeMap<DataCentre, RegionName>>,
    ) -> Self {
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
            regions,
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

    /// Returns the data centres in which a customer's requests of a route may run, or `None` if they
    /// may run in any.
    ///
    /// Where route and customer both name home regions, both bind. A region without data centres
    /// adds none, so that requests with an unknown home run nowhere.
    #[must_use]
    pub fn homes(&self, route: RouteKey, customer: Option<&CustomerConfig>) -> Option<HomeSet> {
        let of_route = &self.route(route).homes;
        let of_customer = customer.map_or(&[][..], |customer| &customer.homes);
        if of_route.is_empty() && of_customer.is_empty() {
            return None;
        }
        let allows = |homes: &[RegionName], region| homes.is_empty() || homes.contains(region);
        let is_home = |region| allows(of_route, region) && allows(of_customer, region);
        let homes = self.regions.iter().filter(|(_, region)| is_home(region));
        Some(homes.map(|(data_centre, _)| data_centre.clone()).collect())
    }

    /// Returns the home regions of the configuration that no data centre belongs to.
    #[must_use]
    pub fn unknown_homes(&self) -> BTreeSet<&RegionName> {
        let of_routes = self.config.routes.iter().flat_map(|route| &route.homes);
        let customers = self.config.customers.iter();
        let of_customers = customers.flat_map(|customer| &customer.homes);
        let known: BTreeSet<&RegionName> = self.regions.values().collect();
        let homes = of_routes.chain(of_customers);
        homes.filter(|region| !known.contains(region)).collect()
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
