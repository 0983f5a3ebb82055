//! Tests of claims under failure: stateful fuzzing against an oracle that records every run.
//!
//! CI runs fixed seeds only. To run more seeds and print the number of steps:
//! `CLAIM_SEEDS=6000 cargo test --release -p briarrail_outcome -- --ignored --nocapture more_seeds`.
//! For an open-ended run with bolero's random engine, which is not reproducible:
//! `cargo test --release -p briarrail_outcome -- --ignored random_choices`.

mod choice_source;
mod fake_router;
mod fake_store;
mod oracle;
mod simulation;
mod two_owners;

use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};

use self::choice_source::ChoiceSource;
use self::simulation::ClaimSimulation;

const CI_SEEDS: u64 = 150;
const CHOICE_BYTES: usize = 4_000;

/// Runs a simulation until all choices are used up, then its final checks.
fn run_simulation(bytes: &[u8]) -> ClaimSimulation {
    let mut choices = ChoiceSource::new(bytes);
    let mut simulation = ClaimSimulation::new(&mut choices);
    while !choices.is_empty() {
        simulation.step(&mut choices);
    }
    simulation.recover_and_check();
    simulation
}

fn run_seed(seed: u64) -> ClaimSimulation {
    let mut bytes = vec![0; CHOICE_BYTES];
    SmallRng::seed_from_u64(seed).fill_bytes(&mut bytes);
    let result = std::panic::catch_unwind(|| run_simulation(&bytes));
    result.unwrap_or_else(|_| panic!("seed {seed} failed"))
}

fn run_seeds(seeds: std::ops::Range<u64>) {
    let mut steps = 0;
    let mut segments = 0;
    let mut outcome_counts = std::collections::BTreeMap::new();
    for seed in seeds.clone() {
        let simulation = run_seed(seed);
        steps += simulation.steps;
        for (outcome, count) in &simulation.oracle.outcome_counts {
            *outcome_counts.entry(outcome.clone()).or_insert(0) += count;
        }
        segments += simulation.segments_written();
    }
    println!(
        "claims: seeds {seeds:?}, {steps} steps, {segments} segments, outcomes {outcome_counts:?}"
    );
}

#[test]
fn claims_hold_for_fixed_seeds() {
    run_seeds(0..CI_SEEDS);
}

#[test]
#[ignore = "long; run on demand"]
fn more_seeds() {
    let count = std::env::var("CLAIM_SEEDS").ok();
    let count = count.and_then(|text| text.parse().ok()).unwrap_or(1_000);
    let first = std::env::var("CLAIM_FIRST_SEED").ok();
    let first = first.and_then(|text| text.parse().ok()).unwrap_or(1_000);
    run_seeds(first..first + count);
}

#[test]
#[ignore = "open-ended and not reproducible"]
fn random_choices() {
    let target = bolero::check!().with_max_len(CHOICE_BYTES);
    target.for_each(|bytes: &[u8]| {
        run_simulation(bytes);
    });
}
