//! Retry delays of rejected callers.

use briarrail_dispatch::{RefusalCause, retry_after};
use briarrail_model::{StableHash, hash_pair};

/// Without jitter, callers that are rejected at the same moment would retry at the same moment.
#[test]
fn retries_are_spread_by_jitter() {
    let delay = |seed| {
        let seed = hash_pair(StableHash(seed), StableHash(9));
        retry_after(RefusalCause::AtCapacity, seed).as_millis()
    };
    let mut delays: Vec<u64> = (0..1_000).map(delay).collect();
    delays.sort_unstable();
    assert!(delays[0] >= 300 && delays[999] <= 450);
    let shortest_span_ms = delays
        .windows(100)
        .map(|window| window[99] - window[0])
        .min()
        .unwrap();
    assert!(
        shortest_span_ms >= 10,
        "a tenth of the callers retries within {shortest_span_ms} ms"
    );
}

#[test]
fn a_caller_of_an_unavailable_router_retries_almost_immediately() {
    assert!(retry_after(RefusalCause::RouterUnavailable, StableHash(u64::MAX)).as_millis() <= 30);
}
