//! Placement: what shares context stays together, and no target holds much more than the others.

use std::collections::HashMap;

use briarrail_dispatch::{OutcomeUnits, SendOutcome, TargetBoard, TargetKey, TargetPhase};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fixtures::{TERMS, ask, at, prompt, target};

fn board(targets: usize) -> TargetBoard {
    let mut board = TargetBoard::default();
    for index in 0..targets {
        board.put(target(&format!("t{index}")), at(0));
    }
    board
}

fn place(board: &TargetBoard, subject: u32, tokens: u32) -> TargetKey {
    let prompt = prompt(subject, tokens);
    let placement = board.place(&ask(&prompt), &TERMS, at(0));
    placement.expect("there is room").target
}

#[test]
fn requests_about_one_subject_share_a_target_on_every_router() {
    let (one, two) = (board(12), board(12));
    for subject in 0..200 {
        let first = place(&one, subject, 10_000);
        assert_eq!(first, place(&one, subject, 10_000));
        let id = |board: &TargetBoard, key| board.get(key).unwrap().row.id.clone();
        assert_eq!(id(&one, first), id(&two, place(&two, subject, 10_000)));
    }
}

#[test]
fn a_target_that_joins_takes_only_its_part() {
    let mut board = board(12);
    let before: Vec<TargetKey> = (0..600)
        .map(|subject| place(&board, subject, 10_000))
        .collect();
    let joined = board.put(target("joined"), at(0));
    let moved: Vec<TargetKey> = (0..600)
        .map(|subject| place(&board, subject, 10_000))
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
    let mut board = board(12);
    let mut rng = SmallRng::seed_from_u64(7);
    let mut running: Vec<(u64, TargetKey)> = Vec::new();
    let mut held: HashMap<TargetKey, u32> = HashMap::new();
    let (mut over, mut sent) = (0, 0);
    for step in 0..40_000_u64 {
        let now = step * 4;
        running.retain(|&(end, key)| {
            if end <= now {
                board.end(key);
                *held.get_mut(&key).unwrap() -= 1;
            }
            end > now
        });
        let is_hot = rng.random_bool(0.3);
        let subject = if is_hot { 0 } else { rng.random_range(1..60) };
        let tokens = if rng.random_bool(0.3) { 10_000 } else { 700 };
        let key = place(&board, subject, tokens);
        let mean = running.len() as f32 / 12.0;
        sent += 1;
        let load = *held.entry(key).or_default();
        over += u32::from(load as f32 > 2.0 * mean + 3.0);
        board.begin(key, at(0));
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
    let mut board = board(3);
    let mut leaving = target("t0");
    leaving.phase = TargetPhase::Draining;
    let leaving = board.put(leaving, at(0));
    board.remove("t1", at(0));
    let gone = board.key_of("t1").unwrap();
    for subject in 0..200 {
        let key = place(&board, subject, 700);
        assert!(key != leaving && key != gone);
    }
}

#[test]
fn full_targets_are_told_at_once() {
    let mut board = TargetBoard::default();
    let key = board.put(target("t0"), at(0));
    for _ in 0..64 * 3 {
        board.begin(key, at(0));
    }
    let prompt = prompt(1, 700);
    assert_eq!(board.place(&ask(&prompt), &TERMS, at(0)), None);
}

#[test]
fn counts_of_other_routers_hold_for_a_while_only() {
    let mut board = board(1);
    let key = board.key_of("t0").unwrap();
    board.set_peer_state(key, 9.0, OutcomeUnits::default(), at(1_000));
    board.begin(key, at(1_000));
    let load = |millis| board.get(key).unwrap().expected_load(at(millis));
    assert_eq!([load(1_000), load(2_400), load(2_600)], [10.0, 10.0, 1.0]);
}

/// Load pattern: all targets fail alike, so that more than half would be passed over.
#[test]
fn failures_with_a_common_cause_do_not_empty_a_service() {
    let mut board = board(6);
    let keys: Vec<TargetKey> = (0..6)
        .map(|index| board.key_of(&format!("t{index}")).unwrap())
        .collect();
    for &key in &keys[..5] {
        for _ in 0..3 {
            board.record(key, SendOutcome::Broken, at(0));
        }
    }
    board.record(keys[5], SendOutcome::Unreachable, at(0));
    let used: std::collections::HashSet<TargetKey> = (0..200)
        .map(|subject| place(&board, subject, 700))
        .collect();
    assert_eq!(used.len(), 5);
    assert!(!used.contains(&keys[5]));
}
