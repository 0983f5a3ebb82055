//! Fair admission.

use briarrail_model::{CallPriority, MilliDuration, StableHash};
use briarrail_policy::{AdmissionController, AdmissionDecision, AdmissionRequest};

use super::fakes::at;

const LARGE: StableHash = StableHash(1);
const SMALL: StableHash = StableHash(2);

fn ask(customer: StableHash, priority: CallPriority, waited_s: u64) -> AdmissionRequest {
    AdmissionRequest {
        customer,
        priority,
        waited: MilliDuration::from_secs(waited_s),
    }
}

/// Returns a controller that knows 20 and 10 requests in flight as usual, now 90 and 10.
fn surged_controller() -> AdmissionController {
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
fn a_surging_customer_is_held_and_others_are_not() {
    let mut controller = surged_controller();
    controller.refresh(Some(0.9));
    let interactive = CallPriority::Interactive;
    let small = controller.decide(&ask(SMALL, interactive, 0));
    assert_eq!(
        small,
        AdmissionDecision::Admit {
            priority: interactive
        }
    );
    let large = controller.decide(&ask(LARGE, interactive, 0));
    assert!(matches!(large, AdmissionDecision::Wait { .. }));
    insta::assert_debug_snapshot!(controller.decide(&ask(LARGE, interactive, 2)));
}

#[test]
fn drafting_waits_first_and_only_under_pressure() {
    let mut controller = surged_controller();
    controller.refresh(Some(0.5));
    let calm = controller.decide(&ask(LARGE, CallPriority::Deferrable, 0));
    assert!(matches!(calm, AdmissionDecision::Admit { .. }));
    controller.refresh(Some(0.71));
    let deferred = controller.decide(&ask(LARGE, CallPriority::Deferrable, 0));
    assert!(matches!(deferred, AdmissionDecision::Wait { .. }));
    let interactive = controller.decide(&ask(LARGE, CallPriority::Interactive, 0));
    assert!(matches!(interactive, AdmissionDecision::Admit { .. }));
}

#[test]
fn a_full_pool_keeps_answering_customers_below_their_share() {
    let mut controller = surged_controller();
    controller.refresh(Some(1.2));
    let small = controller.decide(&ask(SMALL, CallPriority::Interactive, 0));
    assert!(matches!(small, AdmissionDecision::Admit { .. }));
    let drafting = controller.decide(&ask(SMALL, CallPriority::Deferrable, 0));
    assert!(matches!(drafting, AdmissionDecision::Wait { .. }));
}

#[test]
fn fair_shares_fill_the_budget_and_idle_customers_are_forgotten() {
    let mut controller = surged_controller();
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
fn a_large_customer_at_its_usual_use_is_not_held() {
    let mut controller = surged_controller();
    for second in 600..2_400 {
        controller.refresh(Some(0.5));
        controller.update_baselines(at(second));
    }
    controller.refresh(Some(0.75));
    let usual = controller.decide(&ask(LARGE, CallPriority::Interactive, 0));
    assert!(matches!(usual, AdmissionDecision::Admit { .. }));
    controller.refresh(Some(0.96));
    let full = controller.decide(&ask(LARGE, CallPriority::Interactive, 0));
    assert!(matches!(full, AdmissionDecision::Wait { .. }));
}
