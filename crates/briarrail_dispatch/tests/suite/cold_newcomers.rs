//! Replay of many empty targets that join a busy service at once.

use std::collections::{BTreeMap, HashMap};

use briarrail_dispatch::{
    ColdTerms, FleetSize, LimitedRequest, OutcomeTotals, PlacementRequest, RouterList, TargetKey,
    TargetRegistry,
};
use briarrail_model::{MilliDuration, StableHash, hash_bytes};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fixtures::{LIMITS, at, max_in_a_second, prompt, request, target};

const ROUTERS: usize = 65;
const TARGETS: usize = 90;
const NEWCOMERS: usize = 30;
const TICK_MS: u64 = 10;
const SYNC_MS: u64 = 300;
const JOIN_AT: u64 = 11_000;
const DURATION_MS: u64 = 17_000;
/// Time at which requests start; the routers know each other by then.
const START_AT: u64 = 8_500;
const COLD_MS: u64 = 3_000;
/// Requests per second that a cold target may get (FAILBACK): 17 x 1.5 + 5.
const BOUND_PER_S: usize = 30;
/// Requests per second of the service; the targets hold most of what they execute at once.
const DEMAND_PER_S: f64 = 1_900.0;
const REQUEST_MS: std::ops::Range<u64> = 500..1_500;
const PROMPTS: u32 = 300;

struct Fleet {
    registries: Vec<TargetRegistry>,
    keys: HashMap<(usize, usize), TargetKey>,
}

impl Fleet {
    fn new(terms: &HashMap<String, ColdTerms>) -> Self {
        let mut registries: Vec<TargetRegistry> = Vec::new();
        registries.resize_with(ROUTERS, TargetRegistry::default);
        for registry in &mut registries {
            registry.set_cold_terms(terms.clone());
        }
        Self {
            registries,
            keys: HashMap::new(),
        }
    }

    fn list(&mut self, router: usize, number: usize, cold_ms: u64, now: u64) {
        let mut record = target(&format!("i-{number}"));
        record.slots = 24;
        record.cold_left = MilliDuration::from_millis(cold_ms);
        let key = self.registries[router].upsert(record, at(now));
        self.keys.insert((router, number), key);
    }

    /// Exchanges the counts of requests, as the hub does.
    fn sync(&mut self, router: usize, loads: &[u32], now: u64) {
        let routers = (0..ROUTERS).map(|index| hash_bytes(format!("router-{index}").as_bytes()));
        let routers: Vec<StableHash> = routers.collect();
        let list = RouterList {
            local: routers[router],
            routers,
            is_complete: true,
            is_in_touch: true,
        };
        let registry = &mut self.registries[router];
        registry.observe_routers(&list, at(now));
        for (number, load) in loads.iter().enumerate() {
            let Some(&key) = self.keys.get(&(router, number)) else {
                continue;
            };
            let local = registry.get(key).unwrap().local_requests();
            let others = load.saturating_sub(local) as f32;
            registry.set_peer_stats(key, others, OutcomeTotals::default(), at(now));
        }
    }

    /// Places a request and returns the target's number, or `None` if no target may get it.
    fn send(&mut self, router: usize, random: &mut SmallRng, now: u64) -> Option<usize> {
        let parts = prompt(random.random_range(0..PROMPTS), 1_500);
        let seed = StableHash(random.random());
        let registry = &mut self.registries[router];
        let limited = LimitedRequest {
            prompt: parts.affinity_key().unwrap(),
            seed,
        };
        let mut tried = registry.full_cold_targets("model", at(now));
        loop {
            let placement = PlacementRequest {
                tried: &tried,
                seed,
                ..request(&parts)
            };
            let key = registry.place(&placement, &LIMITS, at(now))?.target;
            let admitted = registry.admit(key, &limited, &FleetSize::default(), at(now));
            if admitted.is_ok() {
                registry.start_request(key, at(now));
                let id = &registry.get(key).unwrap().record.id;
                return id.strip_prefix("i-").unwrap().parse().ok();
            }
            tried.push(key);
        }
    }
}

#[derive(Debug)]
struct Outcome {
    /// Largest number of requests to one newcomer in any second while it was cold, and in the two
    /// seconds after.
    max_cold: usize,
    max_warm: usize,
    /// Mean number of requests to a newcomer in a second while it was cold.
    mean_cold: f64,
    refused: usize,
}

fn replay(terms: &HashMap<String, ColdTerms>, seed: u64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(terms);
    let mut loads = vec![0_u32; TARGETS + NEWCOMERS];
    let mut ends: BTreeMap<u64, Vec<(usize, usize)>> = BTreeMap::new();
    let mut sends: Vec<Vec<u64>> = vec![Vec::new(); TARGETS + NEWCOMERS];
    let mut refused = 0;
    for now in (0..DURATION_MS).step_by(TICK_MS as usize) {
        for router in 0..ROUTERS {
            if now == 0 {
                (0..TARGETS).for_each(|number| fleet.list(router, number, 0, now));
            }
            // The routers learn of the newcomers within a few syncs.
            if now == JOIN_AT + (router as u64 % 6) * 100 {
                let newcomers = TARGETS..TARGETS + NEWCOMERS;
                newcomers.for_each(|number| fleet.list(router, number, COLD_MS, now));
            }
            if (now + router as u64 * TICK_MS).is_multiple_of(SYNC_MS) {
                fleet.sync(router, &loads, now);
            }
        }
        for (router, number) in ends.remove(&now).unwrap_or_default() {
            loads[number] -= 1;
            let key = fleet.keys[&(router, number)];
            fleet.registries[router].finish_request(key);
        }
        let count = if now < START_AT {
            0.0
        } else {
            DEMAND_PER_S * TICK_MS as f64 / 1_000.0
        };
        for _ in 0..count as usize {
            let router = random.random_range(0..ROUTERS);
            let Some(number) = fleet.send(router, &mut random, now) else {
                refused += 1;
                continue;
            };
            loads[number] += 1;
            sends[number].push(now);
            let end = now + random.random_range(REQUEST_MS) / TICK_MS * TICK_MS;
            ends.entry(end).or_default().push((router, number));
        }
    }
    let warm_at = JOIN_AT + COLD_MS;
    let in_time = |times: &[u64], range: std::ops::Range<u64>| -> Vec<u64> {
        let times = times.iter().copied();
        times.filter(|time| range.contains(time)).collect()
    };
    let cold = sends[TARGETS..]
        .iter()
        .map(|times| in_time(times, 0..warm_at));
    let cold: Vec<Vec<u64>> = cold.collect();
    let warm = sends[TARGETS..]
        .iter()
        .map(|times| in_time(times, warm_at..warm_at + 2_000));
    let total: usize = cold.iter().map(Vec::len).sum();
    Outcome {
        max_cold: cold
            .iter()
            .map(|times| max_in_a_second(times))
            .max()
            .unwrap(),
        max_warm: warm.map(|times| max_in_a_second(&times)).max().unwrap(),
        mean_cold: total as f64 / NEWCOMERS as f64 / (COLD_MS as f64 / 1_000.0),
        refused,
    }
}

/// Load pattern: a busy service grows by a third at once; the newcomers are empty, so that every
/// router sends them what the others can't take.
///
/// Without the bound, they get more than they take while they are cold.
#[test]
fn newcomers_to_a_busy_service_get_no_more_than_cold_targets_take() {
    let start_time = MilliDuration::from_millis(COLD_MS);
    let terms = ColdTerms::new(start_time, 17.0, 1.5, 5.0).unwrap();
    let terms = HashMap::from([("model".to_owned(), terms)]);
    for seed in 1..=3 {
        let unbounded = replay(&HashMap::new(), seed);
        let bounded = replay(&terms, seed);
        println!("{unbounded:?}, with the bound {bounded:?}");
        assert!(unbounded.max_cold > BOUND_PER_S, "{unbounded:?}");
        assert!(bounded.max_cold <= BOUND_PER_S, "{bounded:?}");
        assert_eq!(bounded.refused, 0, "{bounded:?}");
        // A part of what is meant for the newcomers reaches them, and the end is no jump.
        assert!(
            bounded.mean_cold * 3.0 >= unbounded.mean_cold,
            "{bounded:?}"
        );
        assert!(bounded.max_warm <= 2 * BOUND_PER_S, "{bounded:?}");
    }
}
