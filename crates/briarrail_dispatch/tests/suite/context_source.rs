//! Where a target fetches shared context from.

use briarrail_dispatch::{SendOutcome, TargetPhase, TargetRegistry};

use crate::fixtures::{LIMITS, ask, at, prompt, target};

fn registry() -> TargetRegistry {
    let mut registry = TargetRegistry::default();
    for index in 0..6 {
        registry.upsert(target(&format!("t{index}")), at(0));
    }
    registry
}

/// Load pattern: targets are replaced one after the other, and each takes the context of many
/// subjects with it.
#[test]
fn a_draining_home_hands_its_context_to_the_next() {
    let mut registry = registry();
    let prompt = prompt(1, 10_000);
    let home = registry
        .place(&ask(&prompt), &LIMITS, at(0))
        .unwrap()
        .target;
    let mut record = registry.get(home).unwrap().record.clone();
    record.phase = TargetPhase::Draining;
    registry.upsert(record, at(0));
    let next = registry
        .place(&ask(&prompt), &LIMITS, at(0))
        .unwrap()
        .target;
    assert_ne!(next, home);
    assert_eq!(
        registry.context_source(&ask(&prompt), next, at(0)),
        Some(home)
    );
}

#[test]
fn a_target_that_left_without_draining_is_a_source_for_a_moment() {
    let mut registry = registry();
    let prompt = prompt(1, 10_000);
    let home = registry
        .place(&ask(&prompt), &LIMITS, at(0))
        .unwrap()
        .target;
    let id = registry.get(home).unwrap().record.id.clone();
    registry.mark_removed(&id, at(1_000));
    let next = registry
        .place(&ask(&prompt), &LIMITS, at(1_000))
        .unwrap()
        .target;
    let source = |millis| registry.context_source(&ask(&prompt), next, at(millis));
    assert_eq!(source(2_000), Some(home));
    assert_ne!(source(2_600), Some(home));
}

/// Seen on a bench day: a fetch from a target that was down delayed each request by 300 ms.
#[test]
fn targets_that_are_down_are_no_source() {
    let mut registry = registry();
    let prompt = prompt(1, 10_000);
    let home = registry
        .place(&ask(&prompt), &LIMITS, at(0))
        .unwrap()
        .target;
    let outlier_detector = &mut registry.get_mut(home).unwrap().outlier_detector;
    assert!(outlier_detector.record_outcome(SendOutcome::Unreachable, at(0)));
    for millis in [0, 900, 1_100, 5_000] {
        let next = registry
            .place(&ask(&prompt), &LIMITS, at(0))
            .unwrap()
            .target;
        assert_ne!(
            registry.context_source(&ask(&prompt), next, at(millis)),
            Some(home)
        );
    }
    let mut drained = registry.get(home).unwrap().record.clone();
    drained.phase = TargetPhase::Draining;
    registry.upsert(drained.clone(), at(0));
    registry.mark_removed(&drained.id, at(6_000));
    let next = registry
        .place(&ask(&prompt), &LIMITS, at(6_000))
        .unwrap()
        .target;
    assert_ne!(
        registry.context_source(&ask(&prompt), next, at(6_001)),
        Some(home)
    );
}

/// saltlog-ke, trouble-1: most targets fail two of five requests for four seconds. Each that was
/// ejected had its prompts read again at the next, although it still handed them out.
#[test]
fn a_target_that_answers_with_failures_is_still_a_source() {
    let mut registry = registry();
    let prompt = prompt(1, 10_000);
    let home = registry
        .place(&ask(&prompt), &LIMITS, at(0))
        .unwrap()
        .target;
    let outlier_detector = &mut registry.get_mut(home).unwrap().outlier_detector;
    for millis in 0..8 {
        outlier_detector.record_outcome(SendOutcome::Failed, at(millis));
    }
    assert!(!outlier_detector.allows_requests(at(8)));
    let mut retry = ask(&prompt);
    let tried = [home];
    retry.tried = &tried;
    for ask in [ask(&prompt), retry] {
        let next = registry.place(&ask, &LIMITS, at(8)).unwrap().target;
        assert_ne!(next, home);
        assert_eq!(registry.context_source(&ask, next, at(8)), Some(home));
    }
    // It broke since, so it may be down.
    let outlier_detector = &mut registry.get_mut(home).unwrap().outlier_detector;
    outlier_detector.record_outcome(SendOutcome::Broken, at(9));
    let next = registry
        .place(&ask(&prompt), &LIMITS, at(9))
        .unwrap()
        .target;
    assert_ne!(
        registry.context_source(&ask(&prompt), next, at(9)),
        Some(home)
    );
}

/// saltlog-ke, scale-1: two targets joined together, and the first fetched prompts from the second,
/// which kept none, rather than from their former home.
#[test]
fn a_target_that_joined_just_now_is_no_source_while_others_are_settled() {
    let mut moved = 0;
    for subject in 0..200 {
        let mut registry = registry();
        let prompt = prompt(subject, 10_000);
        let home = registry
            .place(&ask(&prompt), &LIMITS, at(0))
            .unwrap()
            .target;
        for id in ["joined-1", "joined-2"] {
            registry.upsert(target(id), at(9_000));
        }
        let chosen = registry
            .place(&ask(&prompt), &LIMITS, at(9_200))
            .unwrap()
            .target;
        if chosen != home {
            moved += 1;
            let source = registry.context_source(&ask(&prompt), chosen, at(9_200));
            assert_eq!(source, Some(home));
        }
    }
    assert!(moved > 20, "{moved} subjects moved");
}

/// A target that starts again under its identity has an empty cache.
#[test]
fn a_target_that_started_again_is_no_source_while_others_are_settled() {
    let mut registry = registry();
    let prompt = prompt(1, 10_000);
    let home = registry
        .place(&ask(&prompt), &LIMITS, at(0))
        .unwrap()
        .target;
    let mut record = registry.get(home).unwrap().record.clone();
    record.started_unix_ms = 2_000;
    registry.upsert(record, at(9_000));
    let mut retry = ask(&prompt);
    let tried = [home];
    retry.tried = &tried;
    let next = registry.place(&retry, &LIMITS, at(9_200)).unwrap().target;
    let source = |now| registry.context_source(&ask(&prompt), next, at(now));
    assert_ne!(source(9_200), Some(home));
    assert_eq!(source(10_500), Some(home));
}
