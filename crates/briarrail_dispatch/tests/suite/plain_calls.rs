//! Placement of plain calls on targets with few slots, with delayed counts of the other routers.

use std::collections::VecDeque;

use briarrail_dispatch::{OutcomeTotals, PlacementRequest, SendNeed, TargetKey, TargetRegistry};
use briarrail_model::{MilliDuration, StableHash, hash_pair};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fixtures::{LIMITS, at, target};

const ROUTERS: usize = 89;
const SLOTS: usize = 6;
const QUEUE_LIMIT: usize = 24;
/// Interval between two exchanges of counts over two tiers of routers.
const EXCHANGE_INTERVAL_MS: u64 = 300;

/// A target that executes some calls, queues some and rejects the rest.
#[derive(Default)]
struct SimulatedTarget {
    /// End time and router of each call in execution.
    running: Vec<(u64, usize)>,
    /// Duration, arrival time and router of each queued call.
    waiting: VecDeque<(u64, u64, usize)>,
}

/// Number of calls by result.
#[derive(Debug, Default)]
struct CallTotals {
    calls: usize,
    rejected: usize,
    late: usize,
}

/// A simulated workload of plain calls.
#[derive(Debug, Clone, Copy)]
struct Workload {
    calls_per_s: f64,
    targets: usize,
    /// Age of the counts on arrival; grows with the number of tiers that forward them.
    counts_age_ms: u64,
    /// How many times slower the first target is than the others.
    slow_factor: u64,
}

fn simulate(workload: Workload, seed: u64) -> CallTotals {
    let Workload {
        calls_per_s,
        targets: count,
        counts_age_ms,
        slow_factor,
    } = workload;
    let mut pending_counts: VecDeque<Vec<Vec<u32>>> = VecDeque::new();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut registries: Vec<TargetRegistry> =
        (0..ROUTERS).map(|_| TargetRegistry::default()).collect();
    let mut keys: Vec<TargetKey> = Vec::new();
    for registry in &mut registries {
        keys = (0..count)
            .map(|index| {
                let mut record = target(&format!("t{index}"));
                record.slots = SLOTS as u32;
                registry.upsert(record, at(0))
            })
            .collect();
    }
    let mut targets: Vec<SimulatedTarget> =
        (0..count).map(|_| SimulatedTarget::default()).collect();
    let mut totals = CallTotals::default();
    for now in 0..20_000_u64 {
        for (index, target) in targets.iter_mut().enumerate() {
            target.running.retain(|&(end, router)| {
                if end <= now {
                    registries[router].finish_request(keys[index]);
                }
                end > now
            });
            while target.running.len() < SLOTS {
                let Some((work, arrival, router)) = target.waiting.pop_front() else {
                    break;
                };
                totals.late += usize::from(now + work - arrival > 150);
                target.running.push((now + work, router));
            }
        }
        if now % EXCHANGE_INTERVAL_MS == 0 {
            pending_counts.push_back(local_counts(&registries, &keys));
            if pending_counts.len() as u64 > counts_age_ms / EXCHANGE_INTERVAL_MS {
                let counts = pending_counts.pop_front().unwrap();
                exchange(&mut registries, &keys, &counts, now);
            }
        }
        if !rng.random_bool((calls_per_s / 1_000.0).min(1.0)) {
            continue;
        }
        totals.calls += 1;
        let router = rng.random_range(0..ROUTERS);
        let request = PlacementRequest {
            service: "model",
            affinity: None,
            shared_tokens: 0,
            tried: &[],
            seed: hash_pair(StableHash(now), StableHash(seed)),
            objective: MilliDuration::from_millis(150),
            need: SendNeed::ANY,
        };
        let placement = registries[router].place(&request, &LIMITS, at(now));
        let Some(placement) = placement else {
            totals.rejected += 1;
            continue;
        };
        let index = keys
            .iter()
            .position(|&key| key == placement.target)
            .unwrap();
        if targets[index].waiting.len() >= QUEUE_LIMIT {
            totals.rejected += 1;
            continue;
        }
        registries[router].start_request(placement.target, at(now));
        let work = if rng.random_bool(0.01) {
            150
        } else {
            rng.random_range(15..50)
        };
        let factor = if index == 0 { slow_factor } else { 1 };
        targets[index]
            .waiting
            .push_back((work * factor, now, router));
    }
    totals
}

/// Returns the local request counts of each router, by target.
fn local_counts(registries: &[TargetRegistry], keys: &[TargetKey]) -> Vec<Vec<u32>> {
    let local_requests =
        |registry: &TargetRegistry, key| registry.get(key).unwrap().local_requests();
    let by_router = |&key: &TargetKey| {
        registries
            .iter()
            .map(|registry| local_requests(registry, key))
            .collect()
    };
    keys.iter().map(by_router).collect()
}

fn exchange(registries: &mut [TargetRegistry], keys: &[TargetKey], counts: &[Vec<u32>], now: u64) {
    for (&key, local_counts) in keys.iter().zip(counts) {
        let all: u32 = local_counts.iter().sum();
        for (registry, local_count) in registries.iter_mut().zip(local_counts) {
            registry.set_peer_stats(
                key,
                (all - local_count) as f32,
                OutcomeTotals::default(),
                at(now),
            );
        }
    }
}

/// With 440 calls per second at four targets, two thirds of the slots are busy. If all routers
/// selected the target that appears least loaded, one call in seven would be rejected.
#[test]
fn routers_with_delayed_counts_spread_calls_over_targets() {
    for seed in 0..3 {
        let workload = Workload {
            calls_per_s: 440.0,
            targets: 4,
            counts_age_ms: 0,
            slow_factor: 1,
        };
        let totals = simulate(workload, seed);
        let allowed = totals.calls / 100;
        assert!(totals.rejected <= allowed, "{totals:?}");
        assert!(totals.late <= 3 * allowed, "{totals:?}");
    }
}

/// A burst meets three targets whose counts arrive through two tiers of routers. If old counts were
/// taken as the current load, all calls would go to one target for half a second and then to the
/// next, and a quarter would be rejected at 80 % of the service's capacity.
#[test]
fn stale_counts_do_not_cause_load_oscillation() {
    for (calls_per_s, counts_age_ms) in [(440.0, 600), (440.0, 900), (480.0, 600)] {
        let workload = Workload {
            calls_per_s,
            targets: 3,
            counts_age_ms,
            slow_factor: 1,
        };
        for seed in 0..3 {
            let totals = simulate(workload, seed);
            let allowed = totals.calls / 100;
            assert!(totals.rejected <= allowed, "{workload:?} {totals:?}");
            assert!(totals.late <= 5 * allowed, "{workload:?} {totals:?}");
        }
    }
}

/// A target that is half as fast receives fewer calls because of its load.
#[test]
fn a_slow_target_gets_fewer_calls() {
    let workload = Workload {
        calls_per_s: 380.0,
        targets: 3,
        counts_age_ms: 300,
        slow_factor: 2,
    };
    for seed in 0..3 {
        let totals = simulate(workload, seed);
        assert!(totals.rejected <= totals.calls / 20, "{totals:?}");
    }
}
