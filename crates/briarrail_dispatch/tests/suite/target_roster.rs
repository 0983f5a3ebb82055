//! Targets in use during and after an outage of the store.

use briarrail_dispatch::RemovalPolicy::{AfterGracePeriod, Immediate};
use briarrail_dispatch::{RosterChange, RosterRecord, TargetPhase, TargetRoster};

use briarrail_model::MilliDuration;

use crate::fixtures::{at, target};

fn roster() -> TargetRoster {
    let mut roster = TargetRoster::default();
    roster.upsert(target("a"));
    roster.upsert(target("b"));
    roster
}

fn ids(roster: &TargetRoster) -> Vec<&str> {
    roster.records().map(|record| record.id.as_str()).collect()
}

#[test]
fn without_an_outage_a_target_is_removed_immediately() {
    let mut roster = roster();
    assert_eq!(
        roster.remove("a", AfterGracePeriod(at(10))),
        Some(RosterChange::Removed("a".into()))
    );
    assert_eq!(roster.remove("a", AfterGracePeriod(at(11))), None);
    assert_eq!(ids(&roster), ["b"]);
}

#[test]
fn entries_that_expired_during_an_outage_get_a_grace_period() {
    let mut roster = roster();
    roster.observe_view_age(at(1_000), None);
    let changes = roster.replace_all([target("b")], AfterGracePeriod(at(1_300)));
    assert_eq!(changes, [RosterChange::Retained("a".into(), at(3_200))]);
    assert_eq!(ids(&roster), ["a", "b"]);
    assert_eq!(
        roster.replace_all([target("b")], AfterGracePeriod(at(1_400))),
        []
    );
    let back = roster.upsert(target("a"));
    assert_eq!(back, [RosterChange::Upserted(target("a"))]);
    assert_eq!(roster.upsert(target("a")), []);
    assert_eq!(roster.expire(at(9_000)), []);
}

#[test]
fn a_missing_entry_is_removed_after_the_grace_period() {
    let mut roster = roster();
    roster.observe_view_age(at(1_000), None);
    roster.replace_all([target("b")], AfterGracePeriod(at(1_300)));
    assert_eq!(roster.expire(at(3_199)), []);
    assert_eq!(
        roster.expire(at(3_200)),
        [RosterChange::Removed("a".into())]
    );
}

#[test]
fn a_draining_target_gets_no_grace_period() {
    let mut roster = roster();
    let mut draining = target("a");
    draining.phase = TargetPhase::Draining;
    roster.upsert(draining);
    roster.observe_view_age(at(1_000), None);
    assert_eq!(
        roster.remove("a", AfterGracePeriod(at(1_001))),
        Some(RosterChange::Removed("a".into()))
    );
}

/// A router that alone lost the store must not retain and pass on targets that all other routers
/// have seen leave.
#[test]
fn a_removal_reported_by_a_followed_router_is_immediate() {
    let mut roster = roster();
    roster.observe_view_age(at(1_000), None);
    assert_eq!(
        roster.replace_all([target("b")], Immediate),
        [RosterChange::Removed("a".into())]
    );
    assert_eq!(
        roster.remove("b", Immediate),
        Some(RosterChange::Removed("b".into()))
    );
}

/// If the reader loses the store but gets its view from another router, its failed reads must not
/// make it retain a target that left (it did so for 2.5 s).
#[test]
fn failed_reads_grant_no_grace_period_while_the_view_is_current() {
    let mut roster = roster();
    let age = Some(MilliDuration::from_millis(300));
    roster.observe_view_age(at(1_100), age);
    assert_eq!(
        roster.remove("a", AfterGracePeriod(at(1_200))),
        Some(RosterChange::Removed("a".into()))
    );
}

/// After an outage for all routers, the view of a router that regained the store slightly earlier
/// must not count as proof that the view was uninterrupted (see deploy/days/store-trouble.toml).
#[test]
fn an_interrupted_view_grants_a_grace_period() {
    let mut roster = roster();
    roster.observe_view_age(at(5_000), Some(MilliDuration::from_millis(4_000)));
    roster.observe_view_age(at(5_200), Some(MilliDuration::from_millis(4_200)));
    roster.observe_view_age(at(5_400), Some(MilliDuration::from_millis(300)));
    assert_eq!(
        roster.remove("a", AfterGracePeriod(at(5_500))),
        Some(RosterChange::Retained("a".into(), at(7_400)))
    );
}

/// A reader whose configuration reads still fail must not treat targets that another router retains
/// as listed by the store, or it would never remove them.
#[test]
fn a_target_retained_by_another_router_expires_with_its_grace_period() {
    let retained = |id: &str| RosterRecord {
        record: target(id),
        retained_until: Some(at(3_200)),
        write_sequence: None,
    };
    let mut roster = roster();
    let changes = roster.replace_all([retained("a"), target("b").into()], Immediate);
    assert_eq!(changes, [RosterChange::Retained("a".into(), at(3_200))]);
    assert_eq!(roster.upsert(retained("a")), []);
    let changes = roster.upsert(retained("c"));
    let expected = [
        RosterChange::Upserted(target("c")),
        RosterChange::Retained("c".into(), at(3_200)),
    ];
    assert_eq!(changes, expected);
    assert_eq!(ids(&roster), ["a", "b", "c"]);
    roster.upsert(target("c"));
    assert_eq!(
        roster.expire(at(3_200)),
        [RosterChange::Removed("a".into())]
    );
    assert_eq!(ids(&roster), ["b", "c"]);
}

fn listed(id: &str, write_sequence: u64) -> RosterRecord {
    RosterRecord {
        record: target(id),
        retained_until: None,
        write_sequence: Some(write_sequence),
    }
}

/// A store that was restored from a copy listed targets that had left; one of them still served.
#[test]
fn a_restored_entry_counts_once_its_target_writes_it_again() {
    let mut roster = roster();
    roster.remove("a", AfterGracePeriod(at(1_000)));
    roster.observe_restore(at(5_000));
    let list = |roster: &mut TargetRoster, sequence, now| {
        let records = [listed("a", sequence), listed("b", 1)];
        roster.replace_all(records, AfterGracePeriod(at(now)))
    };
    assert_eq!(list(&mut roster, 7, 5_000), []);
    assert_eq!(ids(&roster), ["b"]);
    assert!(!roster.needs_listing(at(8_199)));
    assert!(roster.needs_listing(at(8_200)));
    assert_eq!(list(&mut roster, 7, 8_200), []);
    assert_eq!(roster.unconfirmed().collect::<Vec<_>>(), ["a"]);
    let changes = list(&mut roster, 8, 11_400);
    assert_eq!(changes, [RosterChange::Upserted(target("a"))]);
    assert!(!roster.needs_listing(at(20_000)));
}

#[test]
fn a_change_or_a_new_start_confirms_a_restored_entry() {
    let mut roster = roster();
    roster.remove("a", AfterGracePeriod(at(1_000)));
    roster.remove("b", AfterGracePeriod(at(1_000)));
    roster.observe_restore(at(5_000));
    let mut restarted = listed("b", 1);
    restarted.record.started_unix_ms = 9;
    let records = [listed("a", 7), restarted.clone()];
    let changes = roster.replace_all(records, AfterGracePeriod(at(5_000)));
    assert_eq!(changes, [RosterChange::Upserted(restarted.record)]);
    let changes = roster.upsert(target("a"));
    assert_eq!(changes, [RosterChange::Upserted(target("a"))]);
    assert!(!roster.needs_listing(at(20_000)));
}

#[test]
fn a_restored_entry_that_expires_needs_no_listing_and_stays_out_after_the_next_restore() {
    let mut roster = roster();
    roster.remove("a", AfterGracePeriod(at(1_000)));
    for restored_at in [5_000, 30_000] {
        roster.observe_restore(at(restored_at));
        let records = [listed("a", 7), listed("b", 1)];
        let changes = roster.replace_all(records, AfterGracePeriod(at(restored_at)));
        assert_eq!(changes, []);
        assert_eq!(
            roster.remove("a", AfterGracePeriod(at(restored_at + 900))),
            None
        );
        assert!(!roster.needs_listing(at(restored_at + 10_000)));
    }
    assert_eq!(ids(&roster), ["b"]);
}

#[test]
fn a_target_that_registers_again_after_it_left_is_used_without_a_restore() {
    let mut roster = roster();
    roster.remove("a", AfterGracePeriod(at(1_000)));
    let records = [listed("a", 7), listed("b", 1)];
    let changes = roster.replace_all(records, AfterGracePeriod(at(1_100)));
    assert_eq!(changes, [RosterChange::Upserted(target("a"))]);
}

/// A restored store listed a draining target as ready, and it got requests again.
#[test]
fn a_restored_entry_does_not_make_a_draining_target_ready() {
    let mut roster = roster();
    let mut draining = target("a");
    draining.phase = TargetPhase::Draining;
    roster.upsert(draining.clone());
    roster.observe_restore(at(5_000));
    for now in [5_000, 8_200, 11_400] {
        let records = [listed("a", 3), listed("b", 3)];
        assert_eq!(roster.expire(at(now)), []);
        assert_eq!(roster.replace_all(records, AfterGracePeriod(at(now))), []);
        assert!(roster.needs_listing(at(now + 3_200)));
    }
    // Another router that started after the restore knows no better.
    roster.observe_restore(at(12_000));
    assert_eq!(roster.upsert(target("a")), []);
    let mut restarted = target("a");
    restarted.started_unix_ms = 9;
    assert_eq!(
        roster.upsert(restarted.clone()),
        [RosterChange::Upserted(restarted)]
    );
}

#[test]
fn a_target_that_stops_draining_is_ready_again() {
    let mut roster = roster();
    let mut draining = target("a");
    draining.phase = TargetPhase::Draining;
    roster.upsert(draining.clone());
    let ready = [RosterChange::Upserted(target("a"))];
    assert_eq!(roster.upsert(target("a")), ready);
    roster.upsert(draining);
    roster.observe_restore(at(5_000));
    let records = [listed("a", 3), listed("b", 3)];
    assert_eq!(roster.replace_all(records, AfterGracePeriod(at(5_000))), []);
    assert_eq!(roster.expire(at(7_300)), []);
    let records = [listed("a", 5), listed("b", 5)];
    let changes = roster.replace_all(records, AfterGracePeriod(at(8_200)));
    assert_eq!(changes, ready);
}

/// A restored store lacked a target that had registered after the copy, and requests were refused.
#[test]
fn entries_that_are_newer_than_the_copy_get_a_grace_period() {
    let mut roster = roster();
    roster.observe_view_age(at(5_000), Some(MilliDuration::from_millis(300)));
    roster.observe_restore(at(5_000));
    let changes = roster.replace_all([listed("b", 3)], AfterGracePeriod(at(5_000)));
    assert_eq!(changes, [RosterChange::Retained("a".into(), at(7_200))]);
}
