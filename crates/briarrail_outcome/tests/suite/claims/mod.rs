//! Claims under failure: stateful fuzzing against an oracle that knows every run.
//!
//! CI plays fixed seeds only. More seeds, with the number of steps printed:
//! `CLAIM_SEEDS=6000 cargo test --release -p briarrail_outcome -- --ignored --nocapture more_seeds`.
//! Open-ended and not repeatable, by bolero's random engine:
//! `cargo test --release -p briarrail_outcome -- --ignored random_tapes`.

mod cases;
mod fake_router;
mod fake_store;
mod oracle;
mod tape;
mod world;

use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};

use self::tape::ChoiceTape;
use self::world::ClaimWorld;

const CI_SEEDS: u64 = 150;
const TAPE_BYTES: usize = 4_000;

/// Plays one tape to its end and returns the steps made and what callers were told.
fn play(bytes: &[u8]) -> ClaimWorld {
    let mut tape = ChoiceTape::new(bytes);
    let mut world = ClaimWorld::new(&mut tape);
    while !tape.is_empty() {
        world.step(&mut tape);
    }
    world.heal_and_check();
    world
}

fn play_seed(seed: u64) -> ClaimWorld {
    let mut bytes = vec![0; TAPE_BYTES];
    SmallRng::seed_from_u64(seed).fill_bytes(&mut bytes);
    let played = std::panic::catch_unwind(|| play(&bytes));
    played.unwrap_or_else(|_| panic!("seed {seed} failed"))
}

fn play_seeds(seeds: std::ops::Range<u64>) {
    let mut steps = 0;
    let mut segments = 0;
    let mut told = std::collections::BTreeMap::new();
    for seed in seeds.clone() {
        let world = play_seed(seed);
        steps += world.steps;
        for (outcome, count) in &world.oracle.told {
            *told.entry(outcome.clone()).or_insert(0) += count;
        }
        segments += world.segments_written();
    }
    println!("claims: seeds {seeds:?}, {steps} steps, {segments} segments, callers told {told:?}");
}

#[test]
fn claims_hold_for_fixed_seeds() {
    play_seeds(0..CI_SEEDS);
}

#[test]
#[ignore = "a longer run by command"]
fn more_seeds() {
    let count = std::env::var("CLAIM_SEEDS").ok();
    let count = count.and_then(|text| text.parse().ok()).unwrap_or(1_000);
    let first = std::env::var("CLAIM_FIRST_SEED").ok();
    let first = first.and_then(|text| text.parse().ok()).unwrap_or(1_000);
    play_seeds(first..first + count);
}

#[test]
#[ignore = "open-ended and not repeatable"]
fn random_tapes() {
    let target = bolero::check!().with_max_len(TAPE_BYTES);
    target.for_each(|bytes: &[u8]| {
        play(bytes);
    });
}
