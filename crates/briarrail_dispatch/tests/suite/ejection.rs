//! Ejection and recovery of failing targets.

use briarrail_dispatch::{OutlierDetector, SendOutcome};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fixtures::at;

fn trace(outcomes: &[(u64, SendOutcome)]) -> String {
    let mut detector = OutlierDetector::default();
    let lines = outcomes.iter().map(|&(millis, outcome)| {
        let allowed = detector.allows_requests(at(millis));
        detector.record_send(at(millis));
        let ejected = detector.record_outcome(outcome, at(millis));
        let until = detector
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
fn two_broken_or_four_failed_answers_in_a_row_eject() {
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
    let mut detector = OutlierDetector::default();
    assert!(detector.record_outcome(SendOutcome::Unreachable, at(0)));
    assert!(!detector.allows_requests(at(999)));
    assert!(detector.allows_requests(at(1_000)));
    detector.record_send(at(1_000));
    assert!(!detector.allows_requests(at(1_001)));
    assert!(!detector.record_outcome(SendOutcome::Good, at(1_050)));
    assert!(detector.allows_requests(at(1_051)));
}

/// A healthy plain service fails a seventh of its calls.
#[test]
fn a_normal_failure_rate_rarely_ejects() {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut detector = OutlierDetector::default();
    let mut ejections = 0;
    for step in 0..20_000 {
        let outcome = if rng.random_bool(1.0 / 7.0) {
            SendOutcome::Failed
        } else {
            SendOutcome::Good
        };
        ejections += u32::from(detector.record_outcome(outcome, at(step * 10)));
    }
    assert!(ejections < 40, "{ejections} ejections in 20000 calls");
}
