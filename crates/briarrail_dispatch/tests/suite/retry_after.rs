//! When refused callers come back.

use briarrail_dispatch::{RefusalCause, retry_after};
use briarrail_model::{StableHash, hash_pair};

/// Load pattern: many callers are refused in one moment and would come back in one moment.
#[test]
fn returns_are_spread() {
    let wait = |seed| {
        let seed = hash_pair(StableHash(seed), StableHash(9));
        retry_after(RefusalCause::AtCapacity, seed).as_millis()
    };
    let mut waits: Vec<u64> = (0..1_000).map(wait).collect();
    waits.sort_unstable();
    assert!(waits[0] >= 300 && waits[999] <= 450);
    let busiest = waits
        .windows(100)
        .map(|part| part[99] - part[0])
        .min()
        .unwrap();
    assert!(
        busiest >= 10,
        "a tenth of the callers returns within {busiest} ms"
    );
}

#[test]
fn a_caller_at_the_wrong_router_comes_back_at_once() {
    assert!(retry_after(RefusalCause::RouterUnavailable, StableHash(u64::MAX)).as_millis() <= 30);
}
