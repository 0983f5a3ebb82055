//! Placement of requests that share context, and balance of the load between targets.

use std::collections::HashMap;

use briarrail_dispatch::{OutcomeTotals, SendOutcome, TargetKey, TargetPhase, TargetRegistry};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fixtures::{LIMITS, at, prompt, request, target};

fn registry(targets: usize) -> TargetRegistry {
    let mut registry = TargetRegistry::default();
    for index in 0..targets {
        registry.upsert(target(&format!("t{index}")), at(0));
    }
    registry
}

fn place(registry: &TargetRegistry, prompt_id: u32, tokens: u32) -> TargetKey {
    let prompt = prompt(prompt_id, tokens);
    let placement = registry.place(&request(&prompt), &LIMITS, at(0));
    placement.expect("a target has capacity").target
}

#[test]
fn requests_with_a_shared_prompt_use_the_same_target_on_every_router() {
    let (one, two) = (registry(12), registry(12));
    for prompt_id in 0..200 {
        let first = place(&one, prompt_id, 10_000);
        assert_eq!(first, place(&one, prompt_id, 10_000));
        let id = |registry: &TargetRegistry, key| registry.get(key).unwrap().record.id.clone();
        assert_eq!(id(&one, first), id(&two, place(&two, prompt_id, 10_000)));
    }
}

#[test]
fn a_new_target_takes_over_only_its_share() {
    let mut registry = registry(12);
    let before: Vec<TargetKey> = (0..600)
        .map(|prompt_id| place(&registry, prompt_id, 10_000))
        .collect();
    let joined = registry.upsert(target("joined"), at(0));
    let moved: Vec<TargetKey> = (0..600)
        .map(|prompt_id| place(&registry, prompt_id, 10_000))
        .zip(&before)
        .filter(|(now, then)| now != *then)
        .map(|(now, _)| now)
        .collect();
    assert!(moved.iter().all(|&key| key == joined));
    assert!(
        (20..80).contains(&moved.len()),
        "{} of 600 moved",
        moved.len()
    );
}

/// Many requests share one prompt, while the counts of other routers are one exchange old.
#[test]
fn a_popular_prompt_does_not_overload_a_target() {
    let mut registry = registry(12);
    let mut rng = SmallRng::seed_from_u64(7);
    let mut running: Vec<(u64, TargetKey)> = Vec::new();
    let mut requests_by_target: HashMap<TargetKey, u32> = HashMap::new();
    let (mut over_limit, mut sent) = (0, 0);
    for step in 0..40_000_u64 {
        let now = step * 4;
        running.retain(|&(end, key)| {
            if end <= now {
                registry.finish_request(key);
                *requests_by_target.get_mut(&key).unwrap() -= 1;
            }
            end > now
        });
        let is_popular = rng.random_bool(0.3);
        let prompt_id = if is_popular {
            0
        } else {
            rng.random_range(1..60)
        };
        let tokens = if rng.random_bool(0.3) { 10_000 } else { 700 };
        let key = place(&registry, prompt_id, tokens);
        let mean = running.len() as f32 / 12.0;
        sent += 1;
        let load = *requests_by_target.entry(key).or_default();
        over_limit += u32::from(load as f32 > 2.0 * mean + 3.0);
        registry.start_request(key, at(0));
        *requests_by_target.get_mut(&key).unwrap() += 1;
        running.push((now + rng.random_range(200..900), key));
    }
    assert!(
        over_limit * 100 <= sent * 3,
        "{over_limit} of {sent} requests were placed above the load limit"
    );
}

#[test]
fn draining_and_removed_targets_receive_no_requests() {
    let mut registry = registry(3);
    let mut draining = target("t0");
    draining.phase = TargetPhase::Draining;
    let draining = registry.upsert(draining, at(0));
    registry.mark_removed("t1", at(0));
    let removed = registry.key_by_id("t1").unwrap();
    for prompt_id in 0..200 {
        let key = place(&registry, prompt_id, 700);
        assert!(key != draining && key != removed);
    }
}

#[test]
fn nothing_is_placed_when_all_targets_are_at_capacity() {
    let mut registry = TargetRegistry::default();
    let key = registry.upsert(target("t0"), at(0));
    for _ in 0..64 * 3 {
        registry.start_request(key, at(0));
    }
    let prompt = prompt(1, 700);
    assert_eq!(registry.place(&request(&prompt), &LIMITS, at(0)), None);
}

#[test]
fn peer_counts_expire() {
    let mut registry = registry(1);
    let key = registry.key_by_id("t0").unwrap();
    registry.set_peer_stats(key, 9.0, OutcomeTotals::default(), at(1_000));
    registry.start_request(key, at(1_000));
    let load = |millis| registry.get(key).unwrap().expected_load(at(millis));
    assert_eq!([load(1_000), load(2_400), load(2_600)], [10.0, 10.0, 1.0]);
}

/// All targets fail alike, so more than half of them would be skipped if every ejection applied.
#[test]
fn common_failures_exclude_only_unreachable_targets() {
    let mut registry = registry(6);
    let keys: Vec<TargetKey> = (0..6)
        .map(|index| registry.key_by_id(&format!("t{index}")).unwrap())
        .collect();
    for &key in &keys[..5] {
        for _ in 0..3 {
            registry.record_outcome(key, SendOutcome::Broken, at(0));
        }
    }
    registry.record_outcome(keys[5], SendOutcome::Unreachable, at(0));
    let used: std::collections::HashSet<TargetKey> = (0..200)
        .map(|prompt_id| place(&registry, prompt_id, 700))
        .collect();
    assert_eq!(used.len(), 5);
    assert!(!used.contains(&keys[5]));
}
