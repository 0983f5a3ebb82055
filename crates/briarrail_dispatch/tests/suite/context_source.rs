//! Selection of the target from which shared context is fetched.

use briarrail_dispatch::{SendOutcome, TargetPhase, TargetRegistry};

use crate::fixtures::{LIMITS, at, prompt, request, target};

fn six_targets() -> TargetRegistry {
    let mut registry = TargetRegistry::default();
    for index in 0..6 {
        registry.upsert(target(&format!("t{index}")), at(0));
    }
    registry
}

/// In a rolling replacement of targets, each leaving target takes the cached context of many
/// prompts with it.
#[test]
fn a_draining_target_is_the_source_for_its_successor() {
    let mut registry = six_targets();
    let prompt = prompt(1, 10_000);
    let usual_target = registry
        .place(&request(&prompt), &LIMITS, at(0))
        .unwrap()
        .target;
    let mut record = registry.get(usual_target).unwrap().record.clone();
    record.phase = TargetPhase::Draining;
    registry.upsert(record, at(0));
    let successor = registry
        .place(&request(&prompt), &LIMITS, at(0))
        .unwrap()
        .target;
    assert_ne!(successor, usual_target);
    assert_eq!(
        registry.context_source(&request(&prompt), successor, at(0)),
        Some(usual_target)
    );
}

#[test]
fn a_target_removed_without_draining_stays_a_source_briefly() {
    let mut registry = six_targets();
    let prompt = prompt(1, 10_000);
    let usual_target = registry
        .place(&request(&prompt), &LIMITS, at(0))
        .unwrap()
        .target;
    let id = registry.get(usual_target).unwrap().record.id.clone();
    registry.mark_removed(&id, at(1_000));
    let successor = registry
        .place(&request(&prompt), &LIMITS, at(1_000))
        .unwrap()
        .target;
    let source = |millis| registry.context_source(&request(&prompt), successor, at(millis));
    assert_eq!(source(2_000), Some(usual_target));
    assert_ne!(source(2_600), Some(usual_target));
}

/// A fetch from a target that is down delays the request by 300 ms.
#[test]
fn targets_that_are_down_are_not_a_source() {
    let mut registry = six_targets();
    let prompt = prompt(1, 10_000);
    let usual_target = registry
        .place(&request(&prompt), &LIMITS, at(0))
        .unwrap()
        .target;
    let detector = &mut registry.get_mut(usual_target).unwrap().outlier_detector;
    assert!(detector.record_outcome(SendOutcome::Unreachable, at(0)));
    for millis in [0, 900, 1_100, 5_000] {
        let successor = registry
            .place(&request(&prompt), &LIMITS, at(0))
            .unwrap()
            .target;
        assert_ne!(
            registry.context_source(&request(&prompt), successor, at(millis)),
            Some(usual_target)
        );
    }
    let mut drained = registry.get(usual_target).unwrap().record.clone();
    drained.phase = TargetPhase::Draining;
    registry.upsert(drained.clone(), at(0));
    registry.mark_removed(&drained.id, at(6_000));
    let successor = registry
        .place(&request(&prompt), &LIMITS, at(6_000))
        .unwrap()
        .target;
    assert_ne!(
        registry.context_source(&request(&prompt), successor, at(6_001)),
        Some(usual_target)
    );
}

/// When most targets fail two of five requests for four seconds, excluding ejected targets as
/// sources would have their prompts processed again at other targets, although failing targets still
/// serve cached context.
#[test]
fn a_target_that_responds_with_failures_is_still_a_source() {
    let mut registry = six_targets();
    let prompt = prompt(1, 10_000);
    let usual_target = registry
        .place(&request(&prompt), &LIMITS, at(0))
        .unwrap()
        .target;
    let detector = &mut registry.get_mut(usual_target).unwrap().outlier_detector;
    for millis in 0..8 {
        detector.record_outcome(SendOutcome::Failed, at(millis));
    }
    assert!(!detector.allows_requests(at(8)));
    let mut retry = request(&prompt);
    let tried = [usual_target];
    retry.tried = &tried;
    for request in [request(&prompt), retry] {
        let successor = registry.place(&request, &LIMITS, at(8)).unwrap().target;
        assert_ne!(successor, usual_target);
        assert_eq!(
            registry.context_source(&request, successor, at(8)),
            Some(usual_target)
        );
    }
    // A broken connection may mean that the target is down.
    let detector = &mut registry.get_mut(usual_target).unwrap().outlier_detector;
    detector.record_outcome(SendOutcome::Broken, at(9));
    let successor = registry
        .place(&request(&prompt), &LIMITS, at(9))
        .unwrap()
        .target;
    assert_ne!(
        registry.context_source(&request(&prompt), successor, at(9)),
        Some(usual_target)
    );
}

/// When two targets join together, the first must not fetch prompts from the second, which has
/// cached none, but from the target that served them before.
#[test]
fn a_newly_listed_target_is_not_a_source_while_others_are_warmed_up() {
    let mut moved = 0;
    for prompt_id in 0..200 {
        let mut registry = six_targets();
        let prompt = prompt(prompt_id, 10_000);
        let usual_target = registry
            .place(&request(&prompt), &LIMITS, at(0))
            .unwrap()
            .target;
        for id in ["joined-1", "joined-2"] {
            registry.upsert(target(id), at(9_000));
        }
        let chosen = registry
            .place(&request(&prompt), &LIMITS, at(9_200))
            .unwrap()
            .target;
        if chosen != usual_target {
            moved += 1;
            let source = registry.context_source(&request(&prompt), chosen, at(9_200));
            assert_eq!(source, Some(usual_target));
        }
    }
    assert!(moved > 20, "{moved} prompts moved");
}

/// A target that restarts with the same identifier has an empty cache.
#[test]
fn a_restarted_target_is_not_a_source_while_others_are_warmed_up() {
    let mut registry = six_targets();
    let prompt = prompt(1, 10_000);
    let usual_target = registry
        .place(&request(&prompt), &LIMITS, at(0))
        .unwrap()
        .target;
    let mut record = registry.get(usual_target).unwrap().record.clone();
    record.started_unix_ms = 2_000;
    registry.upsert(record, at(9_000));
    let mut retry = request(&prompt);
    let tried = [usual_target];
    retry.tried = &tried;
    let successor = registry.place(&retry, &LIMITS, at(9_200)).unwrap().target;
    let source = |now| registry.context_source(&request(&prompt), successor, at(now));
    assert_ne!(source(9_200), Some(usual_target));
    assert_eq!(source(10_500), Some(usual_target));
}
