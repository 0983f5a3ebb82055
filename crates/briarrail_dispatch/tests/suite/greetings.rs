//! Calls of a hub to listed routers that it does not hear from.

use briarrail_dispatch::GreetingState;

use crate::fixtures::at;

/// Returns the times at which a router that stays silent is called within a minute.
fn greeting_times(mut state: GreetingState) -> Vec<u64> {
    let mut times = Vec::new();
    for millis in (0..60_000).step_by(200) {
        if state.is_due(at(millis)) {
            state.record_greeting(at(millis));
            times.push(millis);
        }
    }
    times
}

#[test]
fn a_silent_router_is_called_within_a_second_and_then_less_and_less_often() {
    let times = greeting_times(GreetingState::heard(at(0)));
    assert_eq!(times, [1_000, 2_000, 4_000, 8_000, 16_000, 32_000]);
}

/// A follower syncs at least every 600 ms.
#[test]
fn a_router_that_is_heard_is_not_called() {
    for millis in (0..10_000).step_by(200) {
        let state = GreetingState::heard(at(millis - millis % 600));
        assert!(!state.is_due(at(millis)));
    }
}
