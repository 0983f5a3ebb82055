//! Ejection of failing targets and their return.

use briarrail_dispatch::{OutlierGuard, SendOutcome};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fixtures::at;

fn trace(outcomes: &[(u64, SendOutcome)]) -> String {
    let mut guard = OutlierGuard::default();
    let lines = outcomes.iter().map(|&(millis, outcome)| {
        let allowed = guard.allows(at(millis));
        guard.note_send(at(millis));
        let ejected = guard.record(outcome, at(millis));
        let until = guard
            .ejected_until()
            .map(briarrail_model::MilliTime::as_millis);
        format!("{millis} ms, allowed {allowed}: {outcome:?} -> ejected {ejected}, until {until:?}")
    });
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn an_unreachable_target_is_ejected_at_once_and_longer_each_time() {
    use SendOutcome::{Good, Unreachable};
    let steps = [
        (0, Unreachable),
        (1_000, Unreachable),
        (3_000, Unreachable),
        (7_000, Good),
        (7_100, Good),
    ];
    insta::assert_snapshot!(trace(&steps));
}

#[test]
fn two_broken_answers_in_a_row_eject_and_four_own_failures_do() {
    use SendOutcome::{Broken, Failed, Good};
    insta::assert_snapshot!(trace(&[(0, Good), (10, Broken), (20, Broken)]));
    insta::assert_snapshot!(trace(&[
        (0, Failed),
        (10, Failed),
        (20, Failed),
        (30, Failed)
    ]));
}

#[test]
fn an_ejected_target_gets_one_trial_at_a_time() {
    let mut guard = OutlierGuard::default();
    assert!(guard.record(SendOutcome::Unreachable, at(0)));
    assert!(!guard.allows(at(999)));
    assert!(guard.allows(at(1_000)));
    guard.note_send(at(1_000));
    assert!(!guard.allows(at(1_001)));
    assert!(!guard.record(SendOutcome::Good, at(1_050)));
    assert!(guard.allows(at(1_051)));
}

/// Load pattern: a plain service fails a seventh of its calls in good health.
#[test]
fn usual_failures_hardly_ever_eject() {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut guard = OutlierGuard::default();
    let mut ejections = 0;
    for step in 0..20_000 {
        let outcome = if rng.random_bool(1.0 / 7.0) {
            SendOutcome::Failed
        } else {
            SendOutcome::Good
        };
        ejections += u32::from(guard.record(outcome, at(step * 10)));
    }
    assert!(ejections < 40, "{ejections} ejections in 20000 calls");
}
