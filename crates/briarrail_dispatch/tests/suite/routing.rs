//! Lookup of routes, customer keys and services.

use briarrail_dispatch::{
    CallerLimits, CustomerConfig, RouteConfig, RouteLookup, RouteSemantics, RoutingTable,
    ServiceShare, SiteConfig,
};
use briarrail_model::MilliDuration;

pub(crate) fn route(name: &str, prefix: &str, is_public: bool) -> RouteConfig {
    RouteConfig {
        name: name.into(),
        host: "one.example".into(),
        path_prefix: prefix.into(),
        semantics: RouteSemantics::Idempotent,
        timeout: MilliDuration::from_secs(1),
        objective: MilliDuration::from_millis(150),
        event_gap: MilliDuration::ZERO,
        priority: 0,
        shares: vec![share("old", 90), share("new", 10)],
        max_attempts: 2,
        is_public,
        homes: Vec::new(),
    }
}

fn share(service: &str, weight: u32) -> ServiceShare {
    ServiceShare {
        service: service.into(),
        weight,
    }
}

fn table() -> RoutingTable {
    RoutingTable::new(site_config())
}

pub(crate) fn site_config() -> SiteConfig {
    SiteConfig {
        version: 3,
        routes: vec![
            route("all", "/", false),
            route("deep", "/a/b/", false),
            route("open", "/open/", true),
        ],
        services: Vec::new(),
        customers: vec![CustomerConfig {
            name: "pans".into(),
            keys: vec!["k1".into(), "k2".into()],
            priority: None,
            homes: Vec::new(),
        }],
        requires_keys: true,
        limits: CallerLimits {
            header_bytes: 1,
            body_bytes: 1,
            header_timeout: MilliDuration::ZERO,
            idle_timeout: MilliDuration::ZERO,
        },
    }
}

fn lookup_result(host: &str, path: &str, key: Option<&str>) -> String {
    let table = table();
    match table.look_up(host, path, key) {
        RouteLookup::Found { route, customer } => {
            let customer = customer.map_or("nobody", |customer| customer.name.as_str());
            format!("{} for {customer}", table.route(route).name)
        }
        RouteLookup::NoRoute => "no route".into(),
        RouteLookup::UnknownKey => "unknown key".into(),
    }
}

#[test]
fn the_longest_prefix_wins_and_keys_are_checked_after_the_route() {
    let cases = [
        ("one.example", "/a/b/c", Some("k1")),
        ("ONE.example", "/a/b", Some("k2")),
        ("one.example", "/x", Some("other")),
        ("one.example", "/x", None),
        ("one.example", "/open/x", None),
        ("one.example", "/open/x", Some("k1")),
        ("two.example", "/x", None),
    ];
    let lines = cases.map(|(host, path, key)| {
        let result = lookup_result(host, path, key);
        format!("{host} {path} {key:?} -> {result}")
    });
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn without_customers_a_key_is_required_only_if_the_configuration_says_so() {
    for requires_keys in [true, false] {
        let mut config = table().config().clone();
        config.customers.clear();
        config.requires_keys = requires_keys;
        let table = RoutingTable::new(config);
        for key in [None, Some("k1")] {
            let is_denied = table.look_up("one.example", "/x", key) == RouteLookup::UnknownKey;
            assert_eq!(is_denied, requires_keys, "{key:?}");
            let lookup = table.look_up("one.example", "/open/x", key);
            assert!(matches!(lookup, RouteLookup::Found { customer: None, .. }));
        }
    }
}

/// Routers of earlier versions send no flag; the customers decide then.
#[test]
fn a_configuration_with_customers_requires_keys_without_the_flag() {
    let mut config = table().config().clone();
    config.requires_keys = false;
    assert!(RoutingTable::new(config).requires_keys());
}

#[test]
fn a_split_follows_its_weights_and_is_the_same_on_every_router() {
    let table = table();
    let RouteLookup::Found { route, .. } = table.look_up("one.example", "/x", Some("k1")) else {
        panic!("the route exists");
    };
    let choose = |id: u32| {
        table
            .choose_service(route, &id.to_le_bytes())
            .unwrap()
            .to_owned()
    };
    let new = (0..10_000).filter(|&id| choose(id) == "new").count();
    assert!(
        (800..1_200).contains(&new),
        "{new} of 10000 went to the share of a tenth"
    );
    assert!((0..100).all(|id| choose(id) == choose(id)));
}
