//! Requests that may run only in certain regions.

use std::collections::BTreeMap;
use std::sync::Arc;

use briarrail_dispatch::{
    HomeSet, PlacementRequest, RouteLookup, RoutingTable, SendDenial, SendNeed, TargetRegistry,
};
use briarrail_model::{DataCentre, RegionName};

use crate::fixtures::{LIMITS, at, prompt, request, target};
use crate::routing::site_config;

fn regions(names: &[&str]) -> Vec<RegionName> {
    names.iter().map(|&name| name.into()).collect()
}

/// Returns the table of a site with the data centres `a` and `b` in `west` and `c` in `east`.
fn table(of_route: &[&str], of_customer: &[&str]) -> RoutingTable {
    let mut config = site_config();
    config.routes[0].homes = regions(of_route);
    config.customers[0].homes = regions(of_customer);
    let region_of: BTreeMap<DataCentre, RegionName> = [("a", "west"), ("b", "west"), ("c", "east")]
        .map(|(data_centre, region)| (data_centre.into(), region.into()))
        .into();
    RoutingTable::with_regions(config, Arc::new(region_of))
}

/// Returns the homes of a request with the customer's key.
fn homes(table: &RoutingTable) -> Option<Vec<&'static str>> {
    let found = table.look_up("one.example", "/x", Some("k1"));
    let RouteLookup::Found { route, customer } = found else {
        panic!("{found:?}");
    };
    let homes = table.homes(route, customer)?;
    let names = ["a", "b", "c"];
    let is_home = |name: &&str| homes.contains(&DataCentre::from(*name));
    Some(names.into_iter().filter(is_home).collect())
}

#[test]
fn route_and_customer_both_bind() {
    assert_eq!(homes(&table(&[], &[])), None);
    assert_eq!(homes(&table(&["west"], &[])), Some(vec!["a", "b"]));
    assert_eq!(homes(&table(&[], &["east"])), Some(vec!["c"]));
    assert_eq!(homes(&table(&["west", "east"], &["east"])), Some(vec!["c"]));
    assert_eq!(homes(&table(&["west"], &["east"])), Some(vec![]));
}

#[test]
fn an_unknown_region_holds_no_data_centre() {
    let table = table(&["north"], &["west", "south"]);
    assert_eq!(homes(&table), Some(vec![]));
    let unknown: Vec<&str> = table
        .unknown_homes()
        .into_iter()
        .map(RegionName::as_str)
        .collect();
    assert_eq!(unknown, ["north", "south"]);
    let without_regions = RoutingTable::new(table.config().clone());
    assert_eq!(homes(&without_regions), Some(vec![]));
}

/// A popular prompt is usually at a target outside the homes of a request with the same prompt.
#[test]
fn requests_and_their_context_stay_at_home() {
    let mut registry = TargetRegistry::default();
    for index in 0..12 {
        let mut record = target(&format!("t{index}"));
        record.data_centre = ["a", "b", "c"][index % 3].into();
        registry.upsert(record, at(0));
    }
    let homes: HomeSet = ["b".into()].into_iter().collect();
    let is_at_home = |key| registry.get(key).unwrap().record.data_centre.as_str() == "b";
    for prompt_id in 0..50 {
        let prompt = prompt(prompt_id, 10_000);
        let request = PlacementRequest {
            need: SendNeed {
                homes: Some(&homes),
                ..SendNeed::ANY
            },
            ..request(&prompt)
        };
        let placed = registry.place(&request, &LIMITS, at(0)).unwrap().target;
        assert!(is_at_home(placed));
        let source = registry.context_source(&request, placed, at(0)).unwrap();
        assert!(is_at_home(source));
    }
}

#[test]
fn a_request_without_a_home_is_placed_nowhere() {
    let mut registry = TargetRegistry::default();
    registry.upsert(target("t0"), at(0));
    let homes = HomeSet::default();
    let need = SendNeed {
        homes: Some(&homes),
        ..SendNeed::ANY
    };
    let denial = registry.service_denial("model", &need, at(0));
    assert_eq!(denial, Some(SendDenial::OutsideHomes));
}
