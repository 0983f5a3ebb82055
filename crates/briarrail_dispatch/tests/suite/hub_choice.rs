//! Selection of the routers that others follow.

use briarrail_dispatch::{HubCandidate, choose_hub, choose_view_sources};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fixtures::at;

fn fleet(routers: usize, data_centres: usize) -> Vec<HubCandidate> {
    let candidate = |index: usize| HubCandidate {
        name: format!("router-{index}").as_str().into(),
        data_centre: format!("dc-{}", index % data_centres).as_str().into(),
        capacity: 3 + (index % 5) as u8,
        avoided_until: None,
    };
    (0..routers).map(candidate).collect()
}

fn others(fleet: &[HubCandidate], local_index: usize) -> Vec<HubCandidate> {
    let mut others = fleet.to_vec();
    others.remove(local_index);
    others
}

#[test]
fn one_router_reads_the_store_and_each_data_centre_has_one_hub() {
    let fleet = fleet(89, 4);
    let followed: Vec<Option<String>> = (0..fleet.len())
        .map(|local_index| {
            let others = others(&fleet, local_index);
            let hub = choose_hub(&fleet[local_index], &others, at(0));
            hub.map(|hub| hub.name.to_string())
        })
        .collect();
    assert_eq!(followed.iter().filter(|hub| hub.is_none()).count(), 1);
    let mut hubs: Vec<&String> = followed.iter().flatten().collect();
    hubs.sort();
    hubs.dedup();
    assert_eq!(hubs.len(), 4);
}

/// Routers that follow each other add up their counts in every round until all targets appear to be
/// at capacity.
#[test]
fn followed_routers_form_no_cycle() {
    let mut rng = SmallRng::seed_from_u64(5);
    for _ in 0..300 {
        let fleet = fleet(12, 3);
        let followed: Vec<Option<usize>> = (0..fleet.len())
            .map(|local_index| {
                let mut others = others(&fleet, local_index);
                for other in &mut others {
                    other.avoided_until = rng.random_bool(0.4).then(|| at(100));
                }
                let hub = choose_hub(&fleet[local_index], &others, at(0))?;
                fleet.iter().position(|router| router.name == hub.name)
            })
            .collect();
        for start in 0..fleet.len() {
            let mut current = start;
            let mut steps = 0;
            while let Some(hub) = followed[current] {
                current = hub;
                steps += 1;
                assert!(steps <= fleet.len(), "router {start} is in a cycle");
            }
        }
    }
}

/// When the store rejects the reader and the two routers ranked next, asking routers one after the
/// other would delay a configuration change by several timeouts.
#[test]
fn view_sources_are_several_routers_that_are_not_avoided() {
    let fleet = fleet(9, 3);
    let others = others(&fleet, 0);
    let names = |others: &[HubCandidate], now| -> Vec<String> {
        let sources = choose_view_sources(others, 3, at(now));
        sources
            .iter()
            .map(|source| source.name.to_string())
            .collect()
    };
    let first = names(&others, 0);
    assert_eq!(first.len(), 3);
    let mut with_avoided = others.clone();
    for other in &mut with_avoided {
        if first.contains(&other.name.to_string()) {
            other.avoided_until = Some(at(500));
        }
    }
    assert!(
        names(&with_avoided, 499)
            .iter()
            .all(|name| !first.contains(name))
    );
    assert_eq!(names(&with_avoided, 500), first);
}
