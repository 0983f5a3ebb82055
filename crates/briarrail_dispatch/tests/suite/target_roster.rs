//! Which targets count while the store is away and after it.

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
fn a_target_is_gone_at_once_in_quiet_times() {
    let mut roster = roster();
    assert_eq!(
        roster.remove("a", AfterGracePeriod(at(10))),
        Some(RosterChange::Removed("a".into()))
    );
    assert_eq!(roster.remove("a", AfterGracePeriod(at(11))), None);
    assert_eq!(ids(&roster), ["b"]);
}

#[test]
fn entries_that_lapsed_during_an_outage_have_time_to_come_back() {
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
fn an_entry_that_stays_missing_is_gone() {
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
fn a_draining_target_has_no_grace() {
    let mut roster = roster();
    let mut leaving = target("a");
    leaving.phase = TargetPhase::Draining;
    roster.upsert(leaving);
    roster.observe_view_age(at(1_000), None);
    assert_eq!(
        roster.remove("a", AfterGracePeriod(at(1_001))),
        Some(RosterChange::Removed("a".into()))
    );
}

/// hunt-50db-3 of saltlog-ke: a router that was cut from the store alone kept targets that all
/// others had seen go, and handed them out.
#[test]
fn what_a_followed_router_tells_as_gone_is_gone_at_once() {
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

/// hunt-8228-39 of saltlog-ke: the reader was cut from the store and got its view from another router;
/// its own failing reads made it keep a target that had left, for 2.5 s.
#[test]
fn failing_reads_grant_no_grace_while_the_view_goes_on() {
    let mut roster = roster();
    let age = Some(MilliDuration::from_millis(300));
    roster.observe_view_age(at(1_100), age);
    assert_eq!(
        roster.remove("a", AfterGracePeriod(at(1_200))),
        Some(RosterChange::Removed("a".into()))
    );
}

/// deploy/days/store-trouble.toml: after an outage of all, the view of a router that the store
/// served again a moment sooner was taken for proof that it had been there all the while.
#[test]
fn a_view_that_broke_leaves_lapsed_entries_their_time() {
    let mut roster = roster();
    roster.observe_view_age(at(5_000), Some(MilliDuration::from_millis(4_000)));
    roster.observe_view_age(at(5_200), Some(MilliDuration::from_millis(4_200)));
    roster.observe_view_age(at(5_400), Some(MilliDuration::from_millis(300)));
    assert_eq!(
        roster.remove("a", AfterGracePeriod(at(5_500))),
        Some(RosterChange::Retained("a".into(), at(7_400)))
    );
}

/// The process test of lapsed entries: a reader whose configuration reads still failed took the
/// targets that another router kept for targets that the store lists, and never dropped them.
#[test]
fn a_target_that_another_router_keeps_is_kept_as_long_and_no_longer() {
    let kept = |id: &str| RosterRecord {
        record: target(id),
        kept_until: Some(at(3_200)),
    };
    let mut roster = roster();
    let changes = roster.replace_all([kept("a"), target("b").into()], Immediate);
    assert_eq!(changes, [RosterChange::Retained("a".into(), at(3_200))]);
    assert_eq!(roster.upsert(kept("a")), []);
    let changes = roster.upsert(kept("c"));
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
