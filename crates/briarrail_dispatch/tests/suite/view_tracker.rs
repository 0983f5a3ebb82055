//! Which router's view of the targets is taken, while the store fails the reader.

use briarrail_dispatch::RemovalPolicy::{AfterGracePeriod, Immediate};
use briarrail_dispatch::{
    RosterChange, TargetRecord, TargetRoster, ViewPosition, ViewTimeBounds, ViewTracker,
};
use briarrail_model::MilliTime;

use crate::fixtures::{at, target};

struct Router {
    epoch: u64,
    sequence: u64,
    roster: TargetRoster,
    order: ViewTracker,
    /// How often a target came back after it had gone.
    returns: usize,
}

impl Router {
    fn new(epoch: u64) -> Self {
        let mut router = Self {
            epoch,
            sequence: 1,
            roster: TargetRoster::default(),
            order: ViewTracker::default(),
            returns: 0,
        };
        for id in ["a", "b"] {
            router.roster.upsert(target(id));
        }
        router
            .order
            .record_store_read(ViewTimeBounds::exact(at(0)), true);
        router
    }

    fn lists(&self, id: &str) -> bool {
        self.roster.records().any(|record| record.id == id)
    }

    fn note_changes(&mut self, changes: &[RosterChange]) {
        self.sequence += changes.len() as u64;
        let puts = changes.iter();
        self.returns += puts
            .filter(|change| matches!(change, RosterChange::Upserted(_)))
            .count();
    }

    /// Reads the store, which no longer lists `gone`.
    fn read_store(&mut self, now: MilliTime, gone: &str) {
        let change = self.roster.remove(gone, AfterGracePeriod(now));
        self.order
            .record_store_read(ViewTimeBounds::exact(now), change.is_some());
        self.note_changes(change.as_slice());
    }

    /// Takes the whole view of another router, as its reply brings it.
    fn ask(&mut self, other: &Self) {
        let told = ViewPosition {
            epoch: other.epoch,
            sequence: other.sequence,
        };
        let seen = ViewTimeBounds::exact(other.order.observed_at().unwrap());
        if told == self.order.position() || !self.order.accepts(told.epoch, seen) {
            return;
        }
        let records: Vec<TargetRecord> = other.roster.records().cloned().collect();
        let changes = self.roster.replace_all(records, Immediate);
        self.note_changes(&changes);
        self.order.record_adopted_view(told, seen);
    }
}

/// smilsu-rail-grown, scale-2: the cut reader asks two routers that read the store and one that lags,
/// and all three follow it. The target that left went round between them for 3 s.
#[test]
fn a_target_that_left_does_not_go_round_between_routers() {
    let [mut reader, mut first, mut second, mut lagging] = [1, 2, 3, 4].map(Router::new);
    lagging
        .order
        .record_store_read(ViewTimeBounds::exact(at(900)), false);
    for round in 0..20 {
        let now = at(1_000 + round * 200);
        first.read_store(now, "a");
        reader.ask(&first);
        reader.ask(&lagging);
        second.ask(&reader);
        lagging.ask(&reader);
        reader.ask(&second);
        first.ask(&reader);
        let routers = [&reader, &first, &second, &lagging];
        assert!(!routers.iter().any(|router| router.lists("a")), "{now:?}");
        assert!(routers.iter().all(|router| router.lists("b")));
        assert!(routers.iter().all(|router| router.returns == 0));
    }
}

#[test]
fn the_next_view_of_the_same_router_is_taken_although_it_travelled_longer() {
    let [mut follower, mut hub] = [1, 2].map(Router::new);
    hub.order
        .record_store_read(ViewTimeBounds::exact(at(500)), false);
    follower.ask(&hub);
    follower
        .order
        .record_store_read(ViewTimeBounds::exact(at(510)), false);
    // The hub's grace for a target ends, without a read of the store in between.
    hub.roster.remove("a", Immediate);
    hub.sequence += 1;
    follower.ask(&hub);
    assert!(!follower.lists("a"));
}

#[test]
fn an_own_change_has_the_next_view_taken_whole() {
    let [mut follower, mut hub] = [1, 2].map(Router::new);
    hub.order
        .record_store_read(ViewTimeBounds::exact(at(500)), false);
    follower.ask(&hub);
    assert_eq!(follower.order.position().epoch, hub.epoch);
    follower.read_store(at(600), "a");
    assert_eq!(follower.order.position(), ViewPosition::default());
    hub.order
        .record_store_read(ViewTimeBounds::exact(at(700)), false);
    follower.ask(&hub);
    assert!(follower.lists("a"), "a later view lists it again");
}

/// Seen beside a busy bench: the reply of a router that had the change took 120 ms, that of one
/// which lagged took none, and the lagging view counted for the later one.
#[test]
fn a_reply_that_took_long_does_not_make_a_lagging_view_the_later_one() {
    let mut order = ViewTracker::default();
    let change = ViewTimeBounds {
        earliest: at(885),
        latest: at(1_005),
    };
    let position = ViewPosition {
        epoch: 2,
        sequence: 8,
    };
    order.record_adopted_view(position, change);
    assert!(!order.accepts(3, ViewTimeBounds::exact(at(900))));
    assert!(order.accepts(3, ViewTimeBounds::exact(at(1_005))));
    assert_eq!(order.observed_at(), Some(at(885)));
}
