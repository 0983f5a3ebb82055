//! Fleet-wide retry budget.

use briarrail_dispatch::{RetryBudget, RetryBudgetLimits};
use briarrail_model::MilliDuration;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fixtures::at;

const LIMITS: RetryBudgetLimits = RetryBudgetLimits {
    ratio: 0.2,
    window: MilliDuration::from_millis(10_000),
    slack: 58.0,
};

/// All attempts fail on all routers for 30 seconds, with callers spread unevenly over the routers.
#[test]
fn fleet_retries_stay_within_the_budget_in_every_window() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut routers = vec![RetryBudget::default(); 9];
    let mut requests: Vec<u64> = Vec::new();
    let mut retries: Vec<u64> = Vec::new();
    for millis in 0..30_000_u64 {
        if !rng.random_bool(0.17) {
            continue;
        }
        let router = rng.random_range(0..9_usize).min(rng.random_range(0..9));
        requests.push(millis);
        routers[router].record_request(at(millis), &LIMITS);
        for _ in 0..3 {
            if routers[router].try_take_retry(at(millis), &LIMITS, 9) {
                retries.push(millis);
            }
        }
    }
    let count_in_window = |times: &[u64], start: u64| {
        let window = start..start + 10_000;
        times.iter().filter(|time| window.contains(time)).count() as f64
    };
    for start in (0..20_000).step_by(100) {
        let allowed = LIMITS.ratio * count_in_window(&requests, start) + LIMITS.slack;
        let spent = count_in_window(&retries, start);
        assert!(
            spent <= allowed,
            "{spent} retries of {allowed} from {start} ms"
        );
    }
    assert!(!retries.is_empty());
}

#[test]
fn an_idle_router_still_has_its_share_of_the_slack() {
    let mut budget = RetryBudget::default();
    let taken = (0..100)
        .filter(|_| budget.try_take_retry(at(5), &LIMITS, 9))
        .count();
    assert_eq!(taken, 4);
}
