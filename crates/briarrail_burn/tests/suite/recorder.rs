//! Tests of the recorder and of merging snapshots.

use briarrail_burn::{BurnRecorder, BurnSnapshot, BurnWindow, OutcomeClass};
use briarrail_model::{MilliDuration, MilliTime, ServiceObjective};
use briarrail_outcome::{NotRunReason, RequestOutcome};

use crate::traffic::{TimedRequest, generate_requests};

const MINUTE_MS: u64 = 60_000;

fn record_all(requests: &[TimedRequest], max_customers: usize, now: MilliTime) -> BurnSnapshot {
    let mut recorder = BurnRecorder::new(max_customers);
    for request in requests {
        recorder.record(&request.record(), request.at);
    }
    recorder.snapshot(now)
}

/// Returns the length of the time slots of a window, in milliseconds.
fn slot_ms(window: BurnWindow) -> u64 {
    match window {
        BurnWindow::SixHours => 10 * MINUTE_MS,
        BurnWindow::ThreeDays => 60 * MINUTE_MS,
        _ => MINUTE_MS,
    }
}

fn is_within(request: &TimedRequest, window: BurnWindow, now: MilliTime) -> bool {
    let slot_ms = slot_ms(window);
    let first_slot = now.as_millis() / slot_ms + 1 - window.length().as_millis() / slot_ms;
    request.at.as_millis() / slot_ms >= first_slot
}

#[test]
fn counts_match_a_scan_of_all_requests_for_fixed_seeds() {
    for seed in 0..6 {
        let requests = generate_requests(seed, 80, 5);
        let now = requests.last().unwrap().at;
        let snapshot = record_all(&requests, 64, now);
        for pool in &snapshot.pools {
            for count in &pool.windows {
                let counted = requests.iter().filter(|request| {
                    request.pool == pool.pool
                        && request.class != OutcomeClass::CallerError
                        && is_within(request, count.window, now)
                });
                let counted: Vec<_> = counted.collect();
                let failed = counted
                    .iter()
                    .filter(|request| request.class != OutcomeClass::Answered);
                let late = counted.iter().filter(|request| request.late);
                assert_eq!(
                    count.counts.answered.total,
                    counted.len() as u64,
                    "seed {seed}"
                );
                assert_eq!(
                    count.counts.answered.bad,
                    failed.count() as u64,
                    "seed {seed}"
                );
                assert_eq!(
                    count.counts.first_token.bad,
                    late.count() as u64,
                    "seed {seed}"
                );
            }
        }
    }
}

#[test]
fn merged_snapshots_equal_the_snapshot_of_one_recorder() {
    let requests = generate_requests(9, 8, 5);
    let now = requests.last().unwrap().at;
    let whole = record_all(&requests, 64, now);
    let mut merged = BurnSnapshot::default();
    for router in 0..3 {
        let share = requests.iter().skip(router).step_by(3).cloned();
        let snapshot = record_all(&share.collect::<Vec<_>>(), 64, now);
        let text = serde_json::to_string(&snapshot).unwrap();
        merged.merge(serde_json::from_str(&text).unwrap());
    }
    assert_eq!(merged.routers, 3);
    merged.routers = 1;
    assert_eq!(merged, whole);
}

#[test]
fn customers_above_the_limit_share_a_series() {
    let requests = generate_requests(4, 6, 500);
    let now = requests.last().unwrap().at;
    let snapshot = record_all(&requests, 8, now);
    for pool in &snapshot.pools {
        assert_eq!(pool.customers.len(), 9);
        assert_eq!(pool.customers[0].customer, None);
        // The last of the five windows is the longest and contains all requests.
        let sum: u64 = pool
            .customers
            .iter()
            .map(|series| series.windows[4].counts.answered.total)
            .sum();
        assert_eq!(sum, pool.windows[4].counts.answered.total);
    }
}

#[test]
fn idle_customer_is_evicted_without_losing_counts() {
    let mut requests = generate_requests(4, 1, 8);
    let mut last = requests.pop().unwrap();
    last.customer = "newcomer".into();
    last.at = last.at + MilliDuration::from_secs(2 * 3_600);
    let pool = last.pool;
    let now = last.at;
    requests.push(last);
    let snapshot = record_all(&requests, 8, now);
    let pool = snapshot
        .pools
        .iter()
        .find(|burn| burn.pool == pool)
        .unwrap();
    let named = |series: &&briarrail_burn::CustomerCounts| {
        series
            .customer
            .as_ref()
            .is_some_and(|id| id.as_str() == "newcomer")
    };
    assert!(pool.customers.iter().any(|series| named(&series)));
    let sum: u64 = pool
        .customers
        .iter()
        .map(|series| series.windows[4].counts.answered.total)
        .sum();
    assert_eq!(sum, pool.windows[4].counts.answered.total);
}

#[test]
fn objective_of_the_latest_snapshot_is_kept_after_merging() {
    let now = MilliTime::from_millis(60_000);
    let objective = |latency_goal| ServiceObjective {
        latency_goal,
        ..ServiceObjective::default()
    };
    let mut merged = BurnSnapshot::default();
    for (at, goal) in [(1_000, 0.9), (3_000, 0.99), (2_000, 0.95)] {
        let mut recorder = BurnRecorder::new(1);
        recorder.set_objective("p", &objective(goal), now);
        merged.merge(recorder.snapshot(MilliTime::from_millis(at)));
    }
    assert_eq!(merged.pools[0].objective, objective(0.99));
}

#[test]
fn only_reasons_that_the_caller_must_fix_are_caller_errors() {
    let class = |reason| OutcomeClass::from(&RequestOutcome::NotRun(reason));
    let caller_errors = [
        NotRunReason::BadRequest,
        NotRunReason::NoRoute,
        NotRunReason::KeyReused,
        NotRunReason::KeyMissing,
        NotRunReason::KeyExpired,
        NotRunReason::KeyInvalid,
    ];
    for reason in caller_errors {
        assert_eq!(class(reason), OutcomeClass::CallerError, "{reason:?}");
    }
    let failures = [
        NotRunReason::NoTarget,
        NotRunReason::Overloaded,
        NotRunReason::TargetRefused,
        NotRunReason::Unreachable,
        NotRunReason::DeadlinePassed,
        NotRunReason::ClaimUnavailable,
        NotRunReason::Stopping,
    ];
    for reason in failures {
        assert_eq!(class(reason), OutcomeClass::NotRun, "{reason:?}");
    }
}
