//! How long a silent target is waited for.

use briarrail_dispatch::AdaptiveTimeout;
use briarrail_model::MilliDuration;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const OBJECTIVE: MilliDuration = MilliDuration::from_millis(150);

/// Load pattern: targets answer plain calls in some 40 ms, one in a hundred takes five times as
/// long, and some never answer.
#[test]
fn a_repeat_has_time_left_and_hardly_any_answer_is_given_up() {
    let mut rng = SmallRng::seed_from_u64(2);
    let mut timeout = AdaptiveTimeout::default();
    let mut given_up = 0;
    for _ in 0..10_000 {
        let usual = rng.random_range(15..70);
        let took = if rng.random_bool(0.01) {
            usual * 5
        } else {
            usual
        };
        given_up += u32::from(took > timeout.timeout(OBJECTIVE, false).as_millis());
        timeout.record_response_time(MilliDuration::from_millis(took));
    }
    assert!(given_up < 200, "{given_up} of 10000 answers were given up");
    assert!(timeout.timeout(OBJECTIVE, false).as_millis() <= 130);
}

#[test]
fn patience_grows_with_the_load_and_prompts_get_the_most() {
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
