//! Bounds of placement at the small sites.

use std::process::Command;

use serde_json::Value;

const SEEDS: [u64; 2] = [1, 2];

/// Runs one case and returns its report.
fn report(site: &str, scenario: &str, policy: &str, seed: u64) -> Value {
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
    let output = command.args(options).output().expect("the bench runs");
    serde_json::from_slice(&output.stdout).expect("the bench prints one object")
}

fn number(report: &Value, field: &str) -> f64 {
    report[field].as_f64().expect("the field is a number")
}

/// Checks the promised skew, and the reuse as a part of rendezvous hashing's.
fn check(site: &str, scenario: &str, bound: f64, reuse_part: f64) {
    for seed in SEEDS {
        let ours = report(site, scenario, "briarrail", seed);
        let plain = report(site, scenario, "rendezvous", seed);
        let skew = number(&ours, "skew_max");
        assert!(skew <= bound, "{site} {scenario} seed {seed}: skew {skew}");
        let reuse = number(&ours, "cache_reuse") / number(&plain, "cache_reuse");
        assert!(
            reuse >= reuse_part,
            "{site} {scenario} seed {seed}: {reuse}"
        );
    }
}

#[test]
fn saltworks_keeps_its_bound_on_reports_five_seconds_old() {
    check("saltworks", "lag5", 1.40, 0.95);
}

#[test]
fn saltworks_keeps_its_bound_through_churn() {
    check("saltworks", "churn", 1.40, 0.95);
}

#[test]
fn smilsu_keeps_its_reuse_through_churn() {
    check("smilsu", "churn", 1.60, 0.99);
}

#[test]
fn a_surge_slows_the_other_customers_by_less_than_a_tenth() {
    for seed in SEEDS {
        let wait = |scenario| {
            let case = report("saltworks", scenario, "briarrail", seed);
            number(&case, "others_wait_ms_p99")
        };
        let (steady, surge) = (wait("steady"), wait("surge"));
        assert!(surge < steady * 1.1, "seed {seed}: {steady} to {surge} ms");
    }
}
