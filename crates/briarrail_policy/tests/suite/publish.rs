//! Tests of the publication of load records.

use briarrail_policy::{PeerInFlight, PublishPolicy};

use super::fixtures::{at, report};

const MEAN_LOAD: f32 = 180.0;

#[test]
fn a_large_pool_publishes_changes_in_the_shedding_range() {
    let policy = PublishPolicy::for_targets(2_496);
    let publishes = |last: u32, next: u32, seconds: u64| {
        let next = report(next, at(seconds)).expect("a record");
        policy.should_publish(report(last, at(0)).as_ref(), &next, MEAN_LOAD)
    };
    assert!(!publishes(170, 190, 1), "a change near the mean load");
    assert!(publishes(170, 210, 1), "the load enters the shedding range");
    assert!(!publishes(210, 215, 1), "a small change in the range");
    assert!(publishes(210, 230, 1), "a large change in the range");
    assert!(publishes(210, 178, 1), "a return to the mean load");
    assert!(publishes(170, 170, 100), "a heartbeat");
}

#[test]
fn small_pools_and_small_fleets_publish_small_changes() {
    let policy = PublishPolicy::for_targets(12);
    let last = report(170, at(0)).expect("a record");
    let next = report(178, at(1)).expect("a record");
    assert!(policy.should_publish(Some(&last), &next, MEAN_LOAD));
    assert!(PeerInFlight::is_enabled_for(9, 12) && !PeerInFlight::is_enabled_for(900, 312));
    assert!(PeerInFlight::should_publish(Some(&last), &next));
    let same = report(170, at(1)).expect("a record");
    assert!(!PeerInFlight::should_publish(Some(&last), &same));
}
