//! Retry delays of rejected callers.

use briarrail_dispatch::{RefusalCause, retry_after};
use briarrail_model::{MilliDuration, StableHash, hash_pair};

fn sorted_delays(objective_ms: u64) -> Vec<u64> {
    let delay = |seed| {
        let seed = hash_pair(StableHash(seed), StableHash(9));
        let objective = MilliDuration::from_millis(objective_ms);
        retry_after(RefusalCause::AtCapacity(objective), seed).as_millis()
    };
    let mut delays: Vec<u64> = (0..1_000).map(delay).collect();
    delays.sort_unstable();
    delays
}

/// Without jitter, callers that are rejected at the same moment would retry at the same moment.
#[test]
fn retries_are_spread_by_jitter() {
    let shortest_span_ms = sorted_delays(300)
        .windows(100)
        .map(|window| window[99] - window[0])
        .min()
        .unwrap();
    assert!(
        shortest_span_ms >= 10,
        "a tenth of the callers retries within {shortest_span_ms} ms"
    );
}

/// A caller that returns after its objective is late even if it is served at once.
#[test]
fn callers_of_a_busy_service_return_within_half_their_objective() {
    for objective_ms in [100, 120, 300, 5_000] {
        let delays = sorted_delays(objective_ms);
        assert!(delays[0] * 20 >= objective_ms, "{objective_ms} {delays:?}");
        assert!(delays[999] * 2 <= objective_ms, "{objective_ms} {delays:?}");
    }
}

#[test]
fn a_caller_of_an_unavailable_router_retries_almost_immediately() {
    assert!(retry_after(RefusalCause::RouterUnavailable, StableHash(u64::MAX)).as_millis() <= 30);
}
