//! Evacuations of data centres, as routers learn of them from the store and from each other.

use std::collections::BTreeSet;

use briarrail_dispatch::{
    EvacuationChange, EvacuationLedger, EvacuationPosition, EvacuationView, SendDenial, SendNeed,
    TargetRegistry,
};
use briarrail_model::{DataCentre, MilliDuration, MilliTime};

use crate::fixtures::{LIMITS, at, prompt, request, target};

/// Time in which the operators write lost entries again.
const REWRITE_TIME: MilliDuration = MilliDuration::from_millis(4_000);
/// Time between two syncs of a follower in a large data centre.
const SYNC_INTERVAL: MilliDuration = MilliDuration::from_millis(600);

fn names(names: &[&str]) -> BTreeSet<DataCentre> {
    names.iter().map(|&name| name.into()).collect()
}

fn view(epoch: u64, revision: u64, evacuated: &[&str]) -> EvacuationView {
    EvacuationView {
        position: Some(EvacuationPosition { epoch, revision }),
        data_centres: names(evacuated),
        ..EvacuationView::default()
    }
}

#[test]
fn an_older_view_brings_nothing_back() {
    let mut ledger = EvacuationLedger::default();
    assert!(!ledger.is_known());
    ledger.adopt(view(1, 10, &[]), at(0));
    assert!(ledger.is_known());
    let begun = ledger.adopt(view(1, 12, &["a"]), at(1));
    assert_eq!(begun, [EvacuationChange::Begun("a".into())]);
    assert_eq!(ledger.adopt(view(1, 11, &[]), at(2)), []);
    let ended = ledger.adopt(view(1, 14, &[]), at(3));
    assert_eq!(ended, [EvacuationChange::Ended("a".into())]);
    assert_eq!(ledger.adopt(view(1, 13, &["a"]), at(4)), []);
    assert_eq!(ledger.data_centres(), names(&[]));
}

/// The first read of a router that starts may be some seconds old.
#[test]
fn a_stale_read_counts_until_the_first_current_one() {
    let stale = |evacuated: &[&str]| EvacuationView {
        position: None,
        ..view(0, 0, evacuated)
    };
    let mut ledger = EvacuationLedger::default();
    ledger.adopt(stale(&["a"]), at(0));
    assert_eq!(ledger.data_centres(), names(&["a"]));
    assert_eq!(ledger.view(), None, "not passed on as current");
    ledger.adopt(view(1, 12, &["b"]), at(1));
    assert_eq!(ledger.data_centres(), names(&["b"]));
    assert_eq!(ledger.adopt(stale(&["a"]), at(2)), []);
}

#[test]
fn a_restore_keeps_an_evacuation_until_it_is_written_again() {
    let mut ledger = EvacuationLedger::default();
    ledger.adopt(view(1, 90, &["a", "b"]), at(0));
    let changes = ledger.adopt(view(2, 40, &["b"]), at(1_000));
    let until = at(1_000) + REWRITE_TIME;
    assert_eq!(changes, [EvacuationChange::Retained("a".into(), until)]);
    assert_eq!(ledger.expire(at(2_900)), []);
    assert_eq!(ledger.adopt(view(2, 41, &["a", "b"]), at(3_000)), []);
    assert_eq!(ledger.expire(until), []);
    let ended = ledger.adopt(view(2, 42, &["b"]), at(3_100));
    assert_eq!(ended, [EvacuationChange::Ended("a".into())]);
}

#[test]
fn an_evacuation_that_is_not_written_again_ends() {
    let mut ledger = EvacuationLedger::default();
    ledger.adopt(view(1, 90, &["a"]), at(0));
    ledger.adopt(view(2, 40, &[]), at(1_000));
    ledger.adopt(view(2, 50, &[]), at(2_000));
    assert_eq!(ledger.data_centres(), names(&["a"]));
    let until = at(1_000) + REWRITE_TIME;
    assert_eq!(ledger.expire(until), [EvacuationChange::Ended("a".into())]);
}

/// A hub that restarts reads the restored store, which lacks the evacuation; its followers know it.
#[test]
fn a_router_that_starts_on_a_restored_store_learns_the_evacuation_from_the_others() {
    let mut follower = EvacuationLedger::default();
    follower.adopt(view(1, 90, &["a"]), at(0));
    let mut hub = EvacuationLedger::default();
    hub.adopt(view(2, 40, &[]), at(1_000));
    follower.adopt(hub.view().unwrap(), at(1_100));
    assert_eq!(follower.data_centres(), names(&["a"]));
    hub.adopt(view(2, 44, &[]), at(1_200));
    hub.adopt(follower.view().unwrap(), at(1_300));
    assert_eq!(hub.data_centres(), names(&["a"]));
}

/// Nine routers pass views on every 600 ms, each at its own time, while the operators evacuate a
/// data centre, take it back, and the store loses the second evacuation once.
#[test]
fn routers_agree_within_a_second_and_never_bring_an_evacuation_back() {
    let mut routers = vec![EvacuationLedger::default(); 9];
    let mut changes = vec![0; routers.len()];
    let scenario = |now: MilliTime| match now.as_millis() {
        0..3_000 => view(1, 10 + now.as_millis(), &[]),
        3_000..8_000 => view(1, 10 + now.as_millis(), &["a"]),
        8_000..12_000 => view(1, 10 + now.as_millis(), &[]),
        12_000..14_000 => view(1, 10 + now.as_millis(), &["a"]),
        14_000..16_000 => view(2, now.as_millis() - 4_000, &[]),
        _ => view(2, now.as_millis() - 4_000, &["a"]),
    };
    let is_evacuated = |now: u64| (3_000..8_000).contains(&now) || now >= 12_000;
    for millis in (0..20_000_u64).step_by(10) {
        let now = at(millis);
        for index in 0..routers.len() {
            let phase = index as u64 * SYNC_INTERVAL.as_millis() / 9;
            if (millis + phase) % SYNC_INTERVAL.as_millis() >= 10 {
                continue;
            }
            let found = match index {
                0 => scenario(now),
                _ => routers[(index - 1) / 4].view().unwrap_or_default(),
            };
            if index > 0 && found.position.is_none() {
                continue;
            }
            changes[index] += routers[index].adopt(found, now).len();
            let reported = routers[index].view().unwrap();
            if index > 0 {
                changes[(index - 1) / 4] += routers[(index - 1) / 4].adopt(reported, now).len();
            }
        }
        let last_change = [0, 3_000, 8_000, 12_000];
        let last_change = last_change.into_iter().filter(|at| *at <= millis).max();
        if millis - last_change.unwrap_or(0) < 3 * SYNC_INTERVAL.as_millis() {
            continue;
        }
        for (index, router) in routers.iter().enumerate() {
            let found = router.data_centres().contains("a");
            assert_eq!(found, is_evacuated(millis), "router {index} at {millis} ms");
        }
    }
    assert_eq!(changes, [4; 9], "begun, ended, begun, retained");
}

/// The usual targets of many prompts are evacuated at once; their caches are about to be lost.
#[test]
fn evacuated_targets_get_no_requests_and_still_serve_their_context() {
    let mut registry = TargetRegistry::default();
    for index in 0..6 {
        let mut record = target(&format!("t{index}"));
        record.data_centre = ["a", "b"][index % 2].into();
        registry.upsert(record, at(0));
    }
    let placed = |registry: &TargetRegistry, prompt_id| {
        let prompt = prompt(prompt_id, 10_000);
        let target = registry
            .place(&request(&prompt), &LIMITS, at(0))
            .unwrap()
            .target;
        (
            target,
            registry.context_source(&request(&prompt), target, at(0)),
        )
    };
    let is_evacuated = |registry: &TargetRegistry, key| {
        let record = &registry.get(key).unwrap().record;
        record.data_centre.as_str() == "b"
    };
    let usual: Vec<_> = (0..40).map(|id| placed(&registry, id).0).collect();
    registry.set_evacuated(&names(&["b"]), at(0));
    let mut moved = 0;
    for (id, usual) in (0..40).zip(usual) {
        let (target, source) = placed(&registry, id);
        assert!(!is_evacuated(&registry, target));
        if is_evacuated(&registry, usual) {
            assert_eq!(source, Some(usual));
            moved += 1;
        }
    }
    assert!(moved > 10, "{moved} prompts moved");
    // A target that joins there while it is evacuated gets nothing either.
    let mut record = target("t9");
    record.data_centre = "b".into();
    let joined = registry.upsert(record, at(0));
    let denial = registry.denial(joined, &SendNeed::ANY, at(0));
    assert_eq!(denial, Some(SendDenial::Evacuated));
    registry.set_evacuated(&names(&["a", "b"]), at(0));
    let denial = registry.service_denial("model", &SendNeed::ANY, at(0));
    assert_eq!(denial, Some(SendDenial::Evacuated));
    registry.set_evacuated(&names(&[]), at(900));
    assert!(registry.denial(joined, &SendNeed::ANY, at(900)).is_none());
    let returned_at = registry.get(joined).unwrap().standing().returned_at();
    assert_eq!(returned_at, Some(at(900)));
}
