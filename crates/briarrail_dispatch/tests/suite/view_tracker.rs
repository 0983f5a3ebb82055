//! Selection between the views of several routers while the reader cannot read the store.

use briarrail_dispatch::RemovalPolicy::{AfterGracePeriod, Immediate};
use briarrail_dispatch::{
    RosterChange, TargetRecord, TargetRoster, ViewPosition, ViewTime, ViewTimeBounds, ViewTracker,
};
use briarrail_model::MilliTime;

use crate::fixtures::{at, target};

struct Router {
    epoch: u64,
    sequence: u64,
    roster: TargetRoster,
    tracker: ViewTracker,
    /// Number of targets that reappeared after their removal.
    reappearances: usize,
}

impl Router {
    fn new(epoch: u64) -> Self {
        let mut router = Self {
            epoch,
            sequence: 1,
            roster: TargetRoster::default(),
            tracker: ViewTracker::default(),
            reappearances: 0,
        };
        for id in ["a", "b"] {
            router.roster.upsert(target(id));
        }
        router
            .tracker
            .record_store_read(ViewTimeBounds::exact(at(0)), true);
        router
    }

    fn lists(&self, id: &str) -> bool {
        self.roster.records().any(|record| record.id == id)
    }

    fn record_changes(&mut self, changes: &[RosterChange]) {
        self.sequence += changes.len() as u64;
        let changes = changes.iter();
        self.reappearances += changes
            .filter(|change| matches!(change, RosterChange::Upserted(_)))
            .count();
    }

    /// Reads the store, which no longer lists `removed`.
    fn read_store(&mut self, now: MilliTime, removed: &str) {
        let change = self.roster.remove(removed, AfterGracePeriod(now));
        self.tracker
            .record_store_read(ViewTimeBounds::exact(now), change.is_some());
        self.record_changes(change.as_slice());
    }

    /// Adopts the complete view of another router from its response.
    fn adopt_view_of(&mut self, other: &Self) {
        let position = ViewPosition {
            epoch: other.epoch,
            sequence: other.sequence,
        };
        let time = ViewTimeBounds::exact(other.tracker.observed_at().unwrap());
        if position == self.tracker.position() || !self.tracker.accepts(position.epoch, time) {
            return;
        }
        let records: Vec<TargetRecord> = other.roster.records().cloned().collect();
        let changes = self.roster.replace_all(records, Immediate);
        self.record_changes(&changes);
        self.tracker.record_adopted_view(position, time);
    }
}

/// A reader without the store asks two routers that read it and one that lags, and all three follow
/// the reader. A target that left must not be passed around between them (it was for 3 s).
#[test]
fn a_removed_target_is_not_passed_around_between_routers() {
    let [mut reader, mut first, mut second, mut lagging] = [1, 2, 3, 4].map(Router::new);
    lagging
        .tracker
        .record_store_read(ViewTimeBounds::exact(at(900)), false);
    for round in 0..20 {
        let now = at(1_000 + round * 200);
        first.read_store(now, "a");
        reader.adopt_view_of(&first);
        reader.adopt_view_of(&lagging);
        second.adopt_view_of(&reader);
        lagging.adopt_view_of(&reader);
        reader.adopt_view_of(&second);
        first.adopt_view_of(&reader);
        let routers = [&reader, &first, &second, &lagging];
        assert!(!routers.iter().any(|router| router.lists("a")), "{now:?}");
        assert!(routers.iter().all(|router| router.lists("b")));
        assert!(routers.iter().all(|router| router.reappearances == 0));
    }
}

#[test]
fn the_next_view_of_the_followed_router_is_accepted_despite_its_age() {
    let [mut follower, mut hub] = [1, 2].map(Router::new);
    hub.tracker
        .record_store_read(ViewTimeBounds::exact(at(500)), false);
    follower.adopt_view_of(&hub);
    follower
        .tracker
        .record_store_read(ViewTimeBounds::exact(at(510)), false);
    // The hub's grace period for a target ends without another read of the store.
    hub.roster.remove("a", Immediate);
    hub.sequence += 1;
    follower.adopt_view_of(&hub);
    assert!(!follower.lists("a"));
}

#[test]
fn after_a_local_change_the_next_view_replaces_the_whole_roster() {
    let [mut follower, mut hub] = [1, 2].map(Router::new);
    hub.tracker
        .record_store_read(ViewTimeBounds::exact(at(500)), false);
    follower.adopt_view_of(&hub);
    assert_eq!(follower.tracker.position().epoch, hub.epoch);
    follower.read_store(at(600), "a");
    assert_eq!(follower.tracker.position(), ViewPosition::default());
    hub.tracker
        .record_store_read(ViewTimeBounds::exact(at(700)), false);
    follower.adopt_view_of(&hub);
    assert!(follower.lists("a"), "a later view lists it again");
}

/// The response of a router with a change takes 120 ms, and that of a lagging router takes no time.
/// The lagging view must not count as newer.
#[test]
fn a_slow_response_does_not_make_a_lagging_view_newer() {
    let mut tracker = ViewTracker::default();
    let change = ViewTimeBounds {
        earliest: at(885),
        latest: at(1_005),
    };
    let position = ViewPosition {
        epoch: 2,
        sequence: 8,
    };
    tracker.record_adopted_view(position, change);
    assert!(!tracker.accepts(3, ViewTimeBounds::exact(at(900))));
    assert!(tracker.accepts(3, ViewTimeBounds::exact(at(1_005))));
    assert_eq!(tracker.observed_at(), Some(at(885)));
}

/// Two routers that read the store are asked for their views. The watch of one returns a removal at
/// 1,000 and counts as up to 200 ms old; that of the other, which lacks it, returned at 940.
#[test]
fn a_view_of_uncertain_age_is_not_replaced_by_an_older_one() {
    let reported = |bounds: ViewTimeBounds, requested_at, received_at| {
        let time = ViewTime::from(bounds);
        let answered_at = requested_at;
        let age = time.age(answered_at).unwrap();
        ViewTime::reported(age, time.min_age(answered_at), requested_at, received_at)
    };
    let with_removal = ViewTimeBounds {
        earliest: at(800),
        latest: at(1_000),
    };
    let without_removal = ViewTimeBounds {
        earliest: at(930),
        latest: at(940),
    };
    let mut tracker = ViewTracker::default();
    let position = ViewPosition {
        epoch: 2,
        sequence: 8,
    };
    tracker.record_adopted_view(position, reported(with_removal, at(1_010), at(1_011)));
    assert!(!tracker.accepts(3, reported(without_removal, at(1_010), at(1_011))));
    let later = ViewTimeBounds::exact(at(1_150));
    assert!(tracker.accepts(3, reported(later, at(1_200), at(1_201))));
}
