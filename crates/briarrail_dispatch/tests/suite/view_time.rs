//! Ages of views across freezes, starts and several routers.

use briarrail_dispatch::{ReplyWindow, ViewPosition, ViewTime, ViewTimeBounds, ViewTracker};
use briarrail_model::MilliDuration;

use crate::fixtures::at;

fn millis(millis: u64) -> MilliDuration {
    MilliDuration::from_millis(millis)
}

/// A process is frozen from 350 to 3,000 while a watch is pending. The reply arrives in its socket
/// at 600 and is received after it wakes, whether or not a check comes first.
#[test]
fn a_reply_that_waited_through_a_freeze_is_as_old_as_the_freeze() {
    let mut window = ReplyWindow::open(at(0));
    for checked_at in [100, 200, 300] {
        window.record_pending(at(checked_at));
    }
    let without_check = ViewTime::from(window.close(at(3_000)));
    assert!(without_check.age(at(3_000)).unwrap() >= millis(2_400));
    window.record_pending(at(3_000));
    let with_check = ViewTime::from(window.close(at(3_000)));
    assert!(with_check.age(at(3_000)).unwrap() >= millis(2_400));
}

#[test]
fn a_reply_without_a_freeze_is_at_most_two_checks_old() {
    let mut window = ReplyWindow::open(at(0));
    for checked_at in [100, 200, 300, 400, 500, 600] {
        window.record_pending(at(checked_at));
    }
    let time = ViewTime::from(window.close(at(605)));
    assert_eq!(time.age(at(605)), Some(millis(105)));
}

#[test]
fn a_reply_before_the_first_check_is_no_older_than_its_request() {
    let window = ReplyWindow::open(at(40));
    assert_eq!(
        ViewTime::from(window.close(at(70))).age(at(70)),
        Some(millis(30))
    );
}

/// A view that passes through five routers, each of which holds it for some time, is at each of them
/// at least as old as it is in fact.
#[test]
fn the_age_of_a_view_only_grows_while_it_is_handed_on() {
    let read_at = at(10_000);
    let mut time = ViewTime::from(ViewTimeBounds::exact(read_at));
    let mut now = read_at;
    for (held_for, in_transit) in [(0, 1), (700, 0), (150, 40), (3, 250), (0, 0)] {
        let requested_at = now + millis(held_for);
        let received_at = requested_at + millis(in_transit);
        // The age is told as late as possible, so that all of the round trip counts twice.
        let told = time.age(received_at).unwrap();
        time = ViewTime::reported(told, time.min_age(requested_at), requested_at, received_at);
        assert!(time.age(received_at).unwrap() >= received_at.since(read_at));
        assert!(time.age(received_at).unwrap() >= told);
        now = received_at;
    }
}

/// Clocks start at zero with the process, so an older view has no time on them.
#[test]
fn a_view_from_before_the_start_of_a_router_has_no_known_age_there() {
    let time = ViewTime::reported(millis(1_300), None, at(100), at(105));
    assert_eq!(time, ViewTime::Unknown);
    assert_eq!(time.age(at(200)), None);
}

#[test]
fn a_view_of_unknown_age_does_not_replace_one_of_known_age() {
    let mut tracker = ViewTracker::default();
    tracker.record_store_read(ViewTime::Unknown, true);
    assert_eq!(tracker.age(at(50)), None);
    assert!(tracker.accepts(2, ViewTime::Unknown));
    let position = ViewPosition {
        epoch: 2,
        sequence: 1,
    };
    tracker.record_adopted_view(position, ViewTimeBounds::exact(at(60)));
    assert!(!tracker.accepts(3, ViewTime::Unknown));
    tracker.record_store_read(ViewTime::Unknown, false);
    assert_eq!(tracker.age(at(100)), Some(millis(40)));
}
