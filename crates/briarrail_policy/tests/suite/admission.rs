//! Tests of fair admission.

use briarrail_model::{CallPriority, MilliDuration, StableHash};
use briarrail_policy::{AdmissionController, AdmissionDecision, AdmissionRequest};

use super::fixtures::at;

const LARGE: StableHash = StableHash(1);
const SMALL: StableHash = StableHash(2);

fn request(customer: StableHash, priority: CallPriority, waited_s: u64) -> AdmissionRequest {
    AdmissionRequest {
        customer,
        priority,
        waited: MilliDuration::from_secs(waited_s),
    }
}

/// Returns a controller with baselines of 20 (`LARGE`) and 10 (`SMALL`) requests in flight, where
/// `LARGE` now has 90.
fn surging_controller() -> AdmissionController {
    let mut controller =
        AdmissionController::new(MilliDuration::from_secs(12), MilliDuration::from_secs(2));
    (0..20).for_each(|_| controller.start(LARGE));
    (0..10).for_each(|_| controller.start(SMALL));
    for second in 0..600 {
        controller.refresh(Some(0.5));
        controller.update_baselines(at(second));
    }
    (0..70).for_each(|_| controller.start(LARGE));
    controller
}

#[test]
fn only_a_surging_customer_is_limited() {
    let mut controller = surging_controller();
    controller.refresh(Some(0.9));
    let interactive = CallPriority::Interactive;
    let small = controller.decide(&request(SMALL, interactive, 0));
    assert_eq!(
        small,
        AdmissionDecision::Admit {
            priority: interactive
        }
    );
    let large = controller.decide(&request(LARGE, interactive, 0));
    assert!(matches!(large, AdmissionDecision::Wait { .. }));
    insta::assert_debug_snapshot!(controller.decide(&request(LARGE, interactive, 2)));
}

#[test]
fn deferrable_calls_wait_first_and_only_at_high_utilization() {
    let mut controller = surging_controller();
    controller.refresh(Some(0.5));
    let low = controller.decide(&request(LARGE, CallPriority::Deferrable, 0));
    assert!(matches!(low, AdmissionDecision::Admit { .. }));
    controller.refresh(Some(0.71));
    let deferred = controller.decide(&request(LARGE, CallPriority::Deferrable, 0));
    assert!(matches!(deferred, AdmissionDecision::Wait { .. }));
    let interactive = controller.decide(&request(LARGE, CallPriority::Interactive, 0));
    assert!(matches!(interactive, AdmissionDecision::Admit { .. }));
}

#[test]
fn a_full_pool_admits_interactive_calls_below_the_fair_share() {
    let mut controller = surging_controller();
    controller.refresh(Some(1.2));
    let small = controller.decide(&request(SMALL, CallPriority::Interactive, 0));
    assert!(matches!(small, AdmissionDecision::Admit { .. }));
    let deferrable = controller.decide(&request(SMALL, CallPriority::Deferrable, 0));
    assert!(matches!(deferrable, AdmissionDecision::Wait { .. }));
}

#[test]
fn fair_shares_fit_the_budget_and_idle_customers_are_removed() {
    let mut controller = surging_controller();
    let share = controller
        .usage()
        .fair_share(60.0)
        .expect("100 do not fit in 60");
    assert!((share - 50.0).abs() < 1e-9);
    assert_eq!(controller.usage().fair_share(100.0), None);
    (0..90).for_each(|_| controller.finish(LARGE));
    (0..10).for_each(|_| controller.finish(SMALL));
    controller.finish(SMALL);
    assert_eq!(controller.usage().total(), 0);
    controller.refresh(Some(0.1));
    controller.update_baselines(at(10_000));
    assert!(controller.usage().is_empty());
}

#[test]
fn a_large_customer_at_its_baseline_is_limited_only_in_a_full_pool() {
    let mut controller = surging_controller();
    for second in 600..2_400 {
        controller.refresh(Some(0.5));
        controller.update_baselines(at(second));
    }
    controller.refresh(Some(0.75));
    let at_baseline = controller.decide(&request(LARGE, CallPriority::Interactive, 0));
    assert!(matches!(at_baseline, AdmissionDecision::Admit { .. }));
    controller.refresh(Some(0.96));
    let full = controller.decide(&request(LARGE, CallPriority::Interactive, 0));
    assert!(matches!(full, AdmissionDecision::Wait { .. }));
}
