//! Which records are published.

use briarrail_policy::{PeerInFlight, PublishPolicy};

use super::fakes::{at, report};

const MEAN: f32 = 180.0;

#[test]
fn a_large_pool_publishes_what_changes_a_decision() {
    let rule = PublishPolicy::for_targets(2_496);
    let due = |last: u32, next: u32, seconds: u64| {
        let next = report(next, at(seconds)).expect("a record");
        rule.should_publish(report(last, at(0)).as_ref(), &next, MEAN)
    };
    assert!(!due(170, 190, 1), "a change near the mean");
    assert!(due(170, 210, 1), "an entry into the zone");
    assert!(!due(210, 215, 1), "a small step in the zone");
    assert!(due(210, 230, 1), "a step in the zone");
    assert!(due(210, 178, 1), "a return to the mean");
    assert!(due(170, 170, 100), "a heartbeat");
}

#[test]
fn small_pools_publish_every_change_and_fleets_their_counts() {
    let rule = PublishPolicy::for_targets(12);
    let last = report(170, at(0)).expect("a record");
    let next = report(178, at(1)).expect("a record");
    assert!(rule.should_publish(Some(&last), &next, MEAN));
    assert!(PeerInFlight::is_enabled_for(9, 12) && !PeerInFlight::is_enabled_for(900, 312));
    assert!(PeerInFlight::should_publish(Some(&last), &next));
    let same = report(170, at(1)).expect("a record");
    assert!(!PeerInFlight::should_publish(Some(&last), &same));
}
