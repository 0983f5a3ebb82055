//! Which targets count while the store is away and after it.

use briarrail_dispatch::{RosterChange, TargetPhase, TargetRoster};

use crate::fixtures::{at, target};

fn roster() -> TargetRoster {
    let mut roster = TargetRoster::default();
    roster.put(target("a"));
    roster.put(target("b"));
    roster
}

fn ids(roster: &TargetRoster) -> Vec<&str> {
    roster.rows().map(|row| row.id.as_str()).collect()
}

#[test]
fn a_target_is_gone_at_once_in_quiet_times() {
    let mut roster = roster();
    assert_eq!(
        roster.remove("a", at(10)),
        Some(RosterChange::Gone("a".into()))
    );
    assert_eq!(roster.remove("a", at(11)), None);
    assert_eq!(ids(&roster), ["b"]);
}

#[test]
fn entries_that_lapsed_during_an_outage_have_time_to_come_back() {
    let mut roster = roster();
    roster.note_outage(at(1_000));
    let changes = roster.replace([target("b")], at(1_300));
    assert_eq!(changes, [RosterChange::Kept("a".into(), at(3_200))]);
    assert_eq!(ids(&roster), ["a", "b"]);
    assert_eq!(roster.replace([target("b")], at(1_400)), []);
    assert_eq!(roster.put(target("a")), None);
    assert_eq!(roster.expire(at(9_000)), []);
}

#[test]
fn an_entry_that_stays_missing_is_gone() {
    let mut roster = roster();
    roster.note_outage(at(1_000));
    roster.replace([target("b")], at(1_300));
    assert_eq!(roster.expire(at(3_199)), []);
    assert_eq!(roster.expire(at(3_200)), [RosterChange::Gone("a".into())]);
}

#[test]
fn a_draining_target_has_no_grace() {
    let mut roster = roster();
    let mut leaving = target("a");
    leaving.phase = TargetPhase::Draining;
    roster.put(leaving);
    roster.note_outage(at(1_000));
    assert_eq!(
        roster.remove("a", at(1_001)),
        Some(RosterChange::Gone("a".into()))
    );
}

/// hunt-50db-3 of saltlog-ke: a router that was cut from the store alone kept targets that all
/// others had seen go, and handed them out.
#[test]
fn an_outage_of_this_router_alone_grants_no_grace() {
    let mut roster = roster();
    roster.note_outage(at(1_000));
    roster.forget_outage();
    assert_eq!(
        roster.remove("a", at(1_300)),
        Some(RosterChange::Gone("a".into()))
    );
}
