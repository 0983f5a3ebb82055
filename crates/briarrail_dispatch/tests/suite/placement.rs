//! Placement: what shares context stays together, and no target holds much more than the others.

use std::collections::HashMap;

use briarrail_dispatch::{OutcomeTotals, SendOutcome, TargetKey, TargetPhase, TargetRegistry};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fixtures::{LIMITS, ask, at, prompt, target};

fn registry(targets: usize) -> TargetRegistry {
    let mut registry = TargetRegistry::default();
    for index in 0..targets {
        registry.upsert(target(&format!("t{index}")), at(0));
    }
    registry
}

fn place(registry: &TargetRegistry, subject: u32, tokens: u32) -> TargetKey {
    let prompt = prompt(subject, tokens);
    let placement = registry.place(&ask(&prompt), &LIMITS, at(0));
    placement.expect("there is room").target
}

#[test]
fn requests_about_one_subject_share_a_target_on_every_router() {
    let (one, two) = (registry(12), registry(12));
    for subject in 0..200 {
        let first = place(&one, subject, 10_000);
        assert_eq!(first, place(&one, subject, 10_000));
        let id = |registry: &TargetRegistry, key| registry.get(key).unwrap().record.id.clone();
        assert_eq!(id(&one, first), id(&two, place(&two, subject, 10_000)));
    }
}

#[test]
fn a_target_that_joins_takes_only_its_part() {
    let mut registry = registry(12);
    let before: Vec<TargetKey> = (0..600)
        .map(|subject| place(&registry, subject, 10_000))
        .collect();
    let joined = registry.upsert(target("joined"), at(0));
    let moved: Vec<TargetKey> = (0..600)
        .map(|subject| place(&registry, subject, 10_000))
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

/// Load pattern: a part of all requests is about one subject, while counts of the other routers
/// are as old as a round.
#[test]
fn a_hot_subject_does_not_push_a_target_over_the_bound() {
    let mut registry = registry(12);
    let mut rng = SmallRng::seed_from_u64(7);
    let mut running: Vec<(u64, TargetKey)> = Vec::new();
    let mut held: HashMap<TargetKey, u32> = HashMap::new();
    let (mut over, mut sent) = (0, 0);
    for step in 0..40_000_u64 {
        let now = step * 4;
        running.retain(|&(end, key)| {
            if end <= now {
                registry.finish_request(key);
                *held.get_mut(&key).unwrap() -= 1;
            }
            end > now
        });
        let is_hot = rng.random_bool(0.3);
        let subject = if is_hot { 0 } else { rng.random_range(1..60) };
        let tokens = if rng.random_bool(0.3) { 10_000 } else { 700 };
        let key = place(&registry, subject, tokens);
        let mean = running.len() as f32 / 12.0;
        sent += 1;
        let load = *held.entry(key).or_default();
        over += u32::from(load as f32 > 2.0 * mean + 3.0);
        registry.start_request(key, at(0));
        *held.get_mut(&key).unwrap() += 1;
        running.push((now + rng.random_range(200..900), key));
    }
    assert!(
        over * 100 <= sent * 3,
        "{over} of {sent} requests met a target over the bound"
    );
}

#[test]
fn draining_and_gone_targets_get_nothing() {
    let mut registry = registry(3);
    let mut leaving = target("t0");
    leaving.phase = TargetPhase::Draining;
    let leaving = registry.upsert(leaving, at(0));
    registry.mark_removed("t1", at(0));
    let gone = registry.key_by_id("t1").unwrap();
    for subject in 0..200 {
        let key = place(&registry, subject, 700);
        assert!(key != leaving && key != gone);
    }
}

#[test]
fn full_targets_are_told_at_once() {
    let mut registry = TargetRegistry::default();
    let key = registry.upsert(target("t0"), at(0));
    for _ in 0..64 * 3 {
        registry.start_request(key, at(0));
    }
    let prompt = prompt(1, 700);
    assert_eq!(registry.place(&ask(&prompt), &LIMITS, at(0)), None);
}

#[test]
fn counts_of_other_routers_hold_for_a_while_only() {
    let mut registry = registry(1);
    let key = registry.key_by_id("t0").unwrap();
    registry.set_peer_stats(key, 9.0, OutcomeTotals::default(), at(1_000));
    registry.start_request(key, at(1_000));
    let load = |millis| registry.get(key).unwrap().expected_load(at(millis));
    assert_eq!([load(1_000), load(2_400), load(2_600)], [10.0, 10.0, 1.0]);
}

/// Load pattern: all targets fail alike, so that more than half would be passed over.
#[test]
fn failures_with_a_common_cause_do_not_empty_a_service() {
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
        .map(|subject| place(&registry, subject, 700))
        .collect();
    assert_eq!(used.len(), 5);
    assert!(!used.contains(&keys[5]));
}
