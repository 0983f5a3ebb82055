//! Dissemination along ring distances, and convergence of host tables.

use std::sync::Arc;

use briarrail_fleet::{HostChange, HostTable};
use briarrail_model::{HostEntry, HostPhase};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fake_fleet::{entry, router_name, target_name};
use crate::store_oracle::StoreOracle;

/// In a ring of 2^n members, where each holder sends an item once at each pending distance, no
/// member misses the item or receives it twice.
#[test]
fn ring_of_a_power_of_two_delivers_an_item_once() {
    for exponent in 1..8_u32 {
        let count = 1_usize << exponent;
        let mut received = vec![0; count];
        let mut holders = vec![(0_usize, (1_u16 << exponent) - 1)];
        while let Some((member, mut distances)) = holders.pop() {
            received[member] += 1;
            for bit in 0..exponent {
                if distances & 1 << bit != 0 {
                    distances &= !(1 << bit);
                    holders.push(((member + (1 << bit)) % count, distances));
                }
            }
        }
        assert_eq!(received, vec![1; count]);
    }
}

fn apply_random_change(store: &mut StoreOracle, rng: &mut SmallRng) {
    let name = target_name(rng.random_range(0..6));
    let phase = if rng.random() {
        HostPhase::Live
    } else {
        HostPhase::Leaving
    };
    match rng.random_range(0..3) {
        0 => store.remove_host(&name),
        1 if store.host(&name).is_some() => store.set_phase(&name, phase),
        _ => store.set_host(HostEntry {
            address: ([127, 0, 0, 1], rng.random()).into(),
            ..entry(name, "engine", 0)
        }),
    }
}

/// Guards against tables that diverge from the store's list when they receive parts of each other's
/// changes out of order.
#[test]
fn parts_in_any_order_converge_to_the_host_list() {
    let mut advanced_by_part = 0;
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut store = StoreOracle::new(vec![entry(router_name(0), "briarraild", 0)]);
        let mut tables: Vec<_> = (0..3).map(|_| HostTable::new("coast".into())).collect();
        for table in &mut tables {
            table.apply(&store.read_hosts(0), |_| true);
        }
        for _ in 0..40 {
            apply_random_change(&mut store, &mut rng);
            let (from, to) = (rng.random_range(0..3), rng.random_range(0..3));
            if rng.random_range(0..4) == 0 {
                let change = store.read_hosts(tables[from].revision());
                tables[from].apply(&change, |_| true);
            }
            let since = tables[rng.random_range(0..3)].revision();
            if let Some(part) = tables[from].part_since(since) {
                tables[to].apply_part(&part);
            }
        }
        let last = store.read_hosts(tables[0].revision());
        tables[0].apply(&last, |_| true);
        for index in 1..3 {
            let part = tables[0].part_since(tables[index].revision());
            if part.is_some_and(|part| tables[index].apply_part(&part)) {
                advanced_by_part += 1;
            }
            // A table whose patches did not apply reads the list, as a router does.
            let change = store.read_hosts(tables[index].revision());
            tables[index].apply(&change, |_| true);
        }
        for table in &tables {
            assert_table_matches(table, &store.read_hosts(0), seed);
        }
    }
    assert!(
        advanced_by_part > 200,
        "{advanced_by_part} of 400 tables advanced by a part"
    );
}

fn assert_table_matches(table: &HostTable, listed: &HostChange, seed: u64) {
    assert_eq!(table.revision(), listed.revision, "seed {seed}");
    for index in 0..6 {
        let name = target_name(index);
        let held = table.key(&name).and_then(|key| table.entry(key));
        let expected: Option<&Arc<HostEntry>> =
            listed.upserts.iter().find(|entry| entry.name == name);
        assert_eq!(held, expected, "seed {seed}");
    }
}
