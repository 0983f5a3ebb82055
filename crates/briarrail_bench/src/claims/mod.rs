//! Measures claims on idempotency keys: writes, waits and outcomes, in virtual time.
//!
//! `cargo run --release -p briarrail_bench -- claims [--seed N] [--case NAME] [--seconds N]`
//! prints one JSON object a case. It fails when a case misses a bound.

mod case_result;
mod case_spec;
mod claim_fleet;
mod fleet_event;
mod key_ledger;
mod naive_claims;
mod store_model;

use std::process::ExitCode;

use getopts::Options;

use self::case_result::CaseResult;
use self::case_spec::{CaseSpec, all_cases};

const DEFAULT_SEED: u64 = 1;
const DEFAULT_SECONDS: u64 = 60;

/// Runs the cases that the options name.
pub(crate) fn run(options: &[String]) -> ExitCode {
    let mut parser = Options::new();
    parser.optopt("", "seed", "seed of the random numbers", "N");
    parser.optopt("", "seconds", "virtual time of a case", "N");
    parser.optopt("", "case", "run only cases whose name holds this", "NAME");
    let matches = match parser.parse(options) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("claims: {error}\n{}", parser.usage("claims"));
            return ExitCode::from(2);
        }
    };
    let number = |name: &str, default| {
        let text = matches.opt_str(name);
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let seed = number("seed", DEFAULT_SEED);
    let seconds = number("seconds", DEFAULT_SECONDS);
    let wanted = matches.opt_str("case").unwrap_or_default();
    let specs = all_cases(seed, seconds);
    let mut is_met = true;
    for spec in specs.iter().filter(|spec| spec.name.contains(&wanted)) {
        is_met &= run_case(spec);
    }
    if is_met {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Runs one case, prints its result, and returns whether it met its bounds.
fn run_case(spec: &CaseSpec) -> bool {
    let result = if spec.is_baseline {
        naive_claims::run(spec)
    } else {
        claim_fleet::run(spec)
    };
    print_result(&result);
    spec.is_baseline || result.bound_met
}

fn print_result(result: &CaseResult) {
    match serde_json::to_string(result) {
        Ok(line) => println!("{line}"),
        Err(error) => eprintln!("claims: {error}"),
    }
}
