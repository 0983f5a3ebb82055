//! Which router follows which.

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

fn others(fleet: &[HubCandidate], own: usize) -> Vec<HubCandidate> {
    let mut others = fleet.to_vec();
    others.remove(own);
    others
}

#[test]
fn one_reads_the_store_and_one_of_each_data_centre_follows_it() {
    let fleet = fleet(89, 4);
    let followed: Vec<Option<String>> = (0..fleet.len())
        .map(|own| {
            let others = others(&fleet, own);
            let hub = choose_hub(&fleet[own], &others, at(0));
            hub.map(|hub| hub.name.to_string())
        })
        .collect();
    assert_eq!(followed.iter().filter(|hub| hub.is_none()).count(), 1);
    let mut hubs: Vec<&String> = followed.iter().flatten().collect();
    hubs.sort();
    hubs.dedup();
    assert_eq!(hubs.len(), 4);
}

/// Seen on bench days: routers that followed each other added up their counts round by round, until
/// every target looked full.
#[test]
fn no_two_routers_follow_each_other_whatever_they_avoid() {
    let mut rng = SmallRng::seed_from_u64(5);
    for _ in 0..300 {
        let fleet = fleet(12, 3);
        let next: Vec<Option<usize>> = (0..fleet.len())
            .map(|own| {
                let mut others = others(&fleet, own);
                for other in &mut others {
                    other.avoided_until = rng.random_bool(0.4).then(|| at(100));
                }
                let hub = choose_hub(&fleet[own], &others, at(0))?;
                fleet.iter().position(|one| one.name == hub.name)
            })
            .collect();
        for start in 0..fleet.len() {
            let mut at_router = start;
            let mut steps = 0;
            while let Some(hub) = next[at_router] {
                at_router = hub;
                steps += 1;
                assert!(steps <= fleet.len(), "router {start} is in a cycle");
            }
        }
    }
}

/// hunt-1f17-7 of saltlog-ke: the store turned away the reader and the two that rank next, and an
/// edit was late by the time limits of asking them in turn.
#[test]
fn several_routers_are_asked_for_their_view_and_avoided_ones_are_not() {
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
    let mut avoiding = others.clone();
    for other in &mut avoiding {
        if first.contains(&other.name.to_string()) {
            other.avoided_until = Some(at(500));
        }
    }
    assert!(
        names(&avoiding, 499)
            .iter()
            .all(|name| !first.contains(name))
    );
    assert_eq!(names(&avoiding, 500), first);
}
