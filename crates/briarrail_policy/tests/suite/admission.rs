//! Fair admission.

use briarrail_model::{CallPriority, MilliDuration, StableHash};
use briarrail_policy::{AdmissionChoice, AdmissionGate, AdmissionRequest};

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

/// Returns a gate that knows 20 and 10 requests in flight as usual, now 90 and 10.
fn surged_gate() -> AdmissionGate {
    let mut gate = AdmissionGate::new(MilliDuration::from_secs(12), MilliDuration::from_secs(2));
    (0..20).for_each(|_| gate.start(LARGE));
    (0..10).for_each(|_| gate.start(SMALL));
    for second in 0..600 {
        gate.refresh(Some(0.5));
        gate.learn(at(second));
    }
    (0..70).for_each(|_| gate.start(LARGE));
    gate
}

#[test]
fn a_surging_customer_is_held_and_others_are_not() {
    let mut gate = surged_gate();
    gate.refresh(Some(0.9));
    let interactive = CallPriority::Interactive;
    let small = gate.decide(&ask(SMALL, interactive, 0));
    assert_eq!(
        small,
        AdmissionChoice::Admit {
            priority: interactive
        }
    );
    let large = gate.decide(&ask(LARGE, interactive, 0));
    assert!(matches!(large, AdmissionChoice::Wait { .. }));
    insta::assert_debug_snapshot!(gate.decide(&ask(LARGE, interactive, 2)));
}

#[test]
fn drafting_waits_first_and_only_under_pressure() {
    let mut gate = surged_gate();
    gate.refresh(Some(0.5));
    let calm = gate.decide(&ask(LARGE, CallPriority::Deferrable, 0));
    assert!(matches!(calm, AdmissionChoice::Admit { .. }));
    gate.refresh(Some(0.71));
    let deferred = gate.decide(&ask(LARGE, CallPriority::Deferrable, 0));
    assert!(matches!(deferred, AdmissionChoice::Wait { .. }));
    let interactive = gate.decide(&ask(LARGE, CallPriority::Interactive, 0));
    assert!(matches!(interactive, AdmissionChoice::Admit { .. }));
}

#[test]
fn a_full_pool_keeps_answering_customers_below_their_share() {
    let mut gate = surged_gate();
    gate.refresh(Some(1.2));
    let small = gate.decide(&ask(SMALL, CallPriority::Interactive, 0));
    assert!(matches!(small, AdmissionChoice::Admit { .. }));
    let drafting = gate.decide(&ask(SMALL, CallPriority::Deferrable, 0));
    assert!(matches!(drafting, AdmissionChoice::Wait { .. }));
}

#[test]
fn fair_shares_fill_the_budget_and_idle_customers_are_forgotten() {
    let mut gate = surged_gate();
    let share = gate
        .shares()
        .fair_share(60.0)
        .expect("100 do not fit in 60");
    assert!((share - 50.0).abs() < 1e-9);
    assert_eq!(gate.shares().fair_share(100.0), None);
    (0..90).for_each(|_| gate.finish(LARGE));
    (0..10).for_each(|_| gate.finish(SMALL));
    gate.finish(SMALL);
    assert_eq!(gate.shares().total(), 0);
    gate.refresh(Some(0.1));
    gate.learn(at(10_000));
    assert!(gate.shares().is_empty());
}

#[test]
fn a_large_customer_at_its_usual_use_is_not_held() {
    let mut gate = surged_gate();
    for second in 600..2_400 {
        gate.refresh(Some(0.5));
        gate.learn(at(second));
    }
    gate.refresh(Some(0.75));
    let usual = gate.decide(&ask(LARGE, CallPriority::Interactive, 0));
    assert!(matches!(usual, AdmissionChoice::Admit { .. }));
    gate.refresh(Some(0.96));
    let full = gate.decide(&ask(LARGE, CallPriority::Interactive, 0));
    assert!(matches!(full, AdmissionChoice::Wait { .. }));
}
