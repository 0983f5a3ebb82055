//! Health of threads that stall, end, or stand still with their host.

use briarrail_dispatch::{ThreadHealth, ThreadWatch};

/// Checks a thread that turns `turns` times before each check.
fn observe(watch: &mut ThreadWatch, turns: impl IntoIterator<Item = u64>) -> Vec<ThreadHealth> {
    let mut total = 0;
    let counts = turns.into_iter().map(|count| {
        total += count;
        total
    });
    counts.map(|total| watch.observe(total)).collect()
}

/// Guards against a router that says it is ready while the thread that serves callers goes round.
#[test]
fn a_thread_without_turns_is_stalled_and_then_lost() {
    let mut watch = ThreadWatch::default();
    let turns = [1].into_iter().chain(std::iter::repeat_n(0, 60));
    let found = observe(&mut watch, turns);
    let first = |health| found.iter().position(|other| *other == health);
    assert_eq!(first(ThreadHealth::Turning), Some(0));
    assert_eq!(first(ThreadHealth::Stalled), Some(4));
    assert_eq!(first(ThreadHealth::Lost), Some(40));
}

#[test]
fn a_thread_that_turns_again_is_healthy_at_once() {
    let mut watch = ThreadWatch::default();
    let turns = std::iter::repeat_n(0, 30).chain([1]);
    let found = observe(&mut watch, turns);
    assert_eq!(found.last(), Some(&ThreadHealth::Turning));
}

/// Guards against a process that ends because its host stood still: when it wakes, a check may come
/// before the first turn, however long it stood.
#[test]
fn a_host_that_stands_still_again_and_again_loses_no_thread() {
    let mut watch = ThreadWatch::default();
    let found = observe(&mut watch, [1, 0, 1, 0, 2, 0, 0, 1].repeat(50));
    assert!(found.iter().all(|health| *health == ThreadHealth::Turning));
}
