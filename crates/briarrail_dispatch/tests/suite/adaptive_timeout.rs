//! Timeout for a target that has not responded yet.

use briarrail_dispatch::AdaptiveTimeout;
use briarrail_model::MilliDuration;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const OBJECTIVE: MilliDuration = MilliDuration::from_millis(150);

/// Targets answer plain calls in about 40 ms, one call in a hundred takes five times as long, and
/// some targets never respond.
#[test]
fn a_timeout_leaves_time_for_a_retry_and_cuts_off_few_responses() {
    let mut rng = SmallRng::seed_from_u64(2);
    let mut timeout = AdaptiveTimeout::default();
    let mut timed_out = 0;
    for _ in 0..10_000 {
        let typical = rng.random_range(15..70);
        let response_time = if rng.random_bool(0.01) {
            typical * 5
        } else {
            typical
        };
        timed_out += u32::from(response_time > timeout.timeout(OBJECTIVE, false).as_millis());
        timeout.record_response_time(MilliDuration::from_millis(response_time));
    }
    assert!(timed_out < 200, "{timed_out} of 10000 responses timed out");
    assert!(timeout.timeout(OBJECTIVE, false).as_millis() <= 130);
}

#[test]
fn timeouts_grow_with_response_times_and_prompts_get_the_maximum() {
    let mut timeout = AdaptiveTimeout::default();
    let timeout_ms =
        |timeout: &AdaptiveTimeout, prompt| timeout.timeout(OBJECTIVE, prompt).as_millis();
    assert_eq!(
        (timeout_ms(&timeout, false), timeout_ms(&timeout, true)),
        (75, 300)
    );
    for _ in 0..200 {
        timeout.record_response_time(MilliDuration::from_millis(400));
    }
    assert_eq!(
        (timeout_ms(&timeout, false), timeout_ms(&timeout, true)),
        (300, 300)
    );
}
