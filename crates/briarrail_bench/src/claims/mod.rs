//! Benchmark of claims on idempotency keys, simulated in virtual time.
//!
//! Measures the load on the store, the time until a claim is granted, and the outcomes.
//!
//! `cargo run --release -p briarrail_bench -- claims [--seed N] [--case NAME] [--seconds N]`
//! prints one JSON object per case. The exit code is 1 if a batched case exceeds a bound; baseline
//! cases have no bounds.

mod baseline;
mod case_result;
mod claim_case;
mod claim_simulation;
mod send_tracker;
mod simulation_event;
mod store_model;

use std::process::ExitCode;

use getopts::Options;

use self::case_result::CaseResult;
use self::claim_case::{ClaimCase, all_cases};

const DEFAULT_SEED: u64 = 1;
const DEFAULT_SECONDS: u64 = 60;

/// Runs the cases that the options select.
pub(crate) fn run(options: &[String]) -> ExitCode {
    let mut parser = Options::new();
    parser.optopt("", "seed", "seed of the random numbers", "N");
    parser.optopt("", "seconds", "virtual time of a case", "N");
    parser.optopt(
        "",
        "case",
        "run only the cases whose name contains NAME",
        "NAME",
    );
    let matches = match parser.parse(options) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("claims: {error}\n{}", parser.usage("claims"));
            return ExitCode::from(2);
        }
    };
    let number_or = |name: &str, default| {
        let text = matches.opt_str(name);
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let seed = number_or("seed", DEFAULT_SEED);
    let seconds = number_or("seconds", DEFAULT_SECONDS);
    let name_filter = matches.opt_str("case").unwrap_or_default();
    let cases = all_cases(seed, seconds);
    let mut all_bounds_met = true;
    for case in cases.iter().filter(|case| case.name.contains(&name_filter)) {
        all_bounds_met &= run_case(case);
    }
    if all_bounds_met {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Runs one case, prints its result and returns whether it met its bounds.
fn run_case(case: &ClaimCase) -> bool {
    let result = if case.is_baseline {
        baseline::run(case)
    } else {
        claim_simulation::run(case)
    };
    print_result(&result);
    case.is_baseline || result.bound_met
}

fn print_result(result: &CaseResult) {
    match serde_json::to_string(result) {
        Ok(line) => println!("{line}"),
        Err(error) => eprintln!("claims: {error}"),
    }
}
