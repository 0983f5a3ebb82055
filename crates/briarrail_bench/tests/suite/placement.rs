//! Skew, cache reuse and isolation bounds of placement at the small sites.

use std::process::Command;

use serde_json::Value;

const SEEDS: [u64; 2] = [1, 2];

/// Runs one case and returns its report.
fn run_case(site: &str, scenario: &str, policy: &str, seed: u64) -> Value {
    let seed = seed.to_string();
    let options = [
        "placement",
        "--site",
        site,
        "--scenario",
        scenario,
        "--policy",
        policy,
        "--seed",
        &seed,
    ];
    let mut command = Command::new(env!("CARGO_BIN_EXE_briarrail_bench"));
    let output = command.args(options).output().expect("the benchmark runs");
    serde_json::from_slice(&output.stdout).expect("the benchmark prints one JSON object")
}

fn number_field(report: &Value, field: &str) -> f64 {
    report[field].as_f64().expect("the field is a number")
}

/// Checks that the skew does not exceed `skew_bound` and that cache reuse reaches at least
/// `min_reuse_ratio` of the reuse with rendezvous hashing.
fn check_skew_and_reuse(site: &str, scenario: &str, skew_bound: f64, min_reuse_ratio: f64) {
    for seed in SEEDS {
        let briarrail = run_case(site, scenario, "briarrail", seed);
        let rendezvous = run_case(site, scenario, "rendezvous", seed);
        let skew = number_field(&briarrail, "skew_max");
        assert!(
            skew <= skew_bound,
            "{site} {scenario} seed {seed}: skew {skew}"
        );
        let reuse_ratio =
            number_field(&briarrail, "cache_reuse") / number_field(&rendezvous, "cache_reuse");
        assert!(
            reuse_ratio >= min_reuse_ratio,
            "{site} {scenario} seed {seed}: reuse ratio {reuse_ratio}"
        );
    }
}

#[test]
fn saltworks_stays_within_skew_bound_with_5s_old_reports() {
    check_skew_and_reuse("saltworks", "lag5", 1.40, 0.95);
}

#[test]
fn saltworks_stays_within_skew_bound_under_churn() {
    check_skew_and_reuse("saltworks", "churn", 1.40, 0.95);
}

#[test]
fn smilsu_keeps_cache_reuse_under_churn() {
    check_skew_and_reuse("smilsu", "churn", 1.60, 0.99);
}

#[test]
fn surge_raises_first_token_p99_of_other_customers_by_less_than_10_percent() {
    for seed in SEEDS {
        let first_token_p99_ms = |scenario| {
            let case = run_case("saltworks", scenario, "briarrail", seed);
            number_field(&case, "others_wait_ms_p99")
        };
        let (steady, surge) = (first_token_p99_ms("steady"), first_token_p99_ms("surge"));
        assert!(
            surge < steady * 1.1,
            "seed {seed}: p99 to the first token rose from {steady} to {surge} ms"
        );
    }
}
