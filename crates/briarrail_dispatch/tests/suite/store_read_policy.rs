//! Selection of the routers that read the store, and the rate of calls to an unavailable store.

use briarrail_dispatch::{ReadConditions, ReadReason, retry_delay};
use briarrail_model::MilliDuration;

/// If all 87 routers of a fleet called an unavailable store as often as the reader, the store would
/// bill thousands of calls during an outage (4,532 were seen in one load test).
#[test]
fn a_fleet_probes_an_unavailable_store_at_a_bounded_rate() {
    for routers in [1_usize, 9, 87, 300, 3_600] {
        let calls: f64 = (0..routers)
            .map(|router| {
                let reason = if router == 0 {
                    ReadReason::Reader
                } else {
                    ReadReason::Probe
                };
                1_000.0 / retry_delay(reason, 5, routers).as_millis() as f64
            })
            .sum();
        assert!(calls <= 22.0, "{calls} calls a second from {routers}");
    }
}

#[test]
fn the_retry_delay_of_the_reader_is_independent_of_the_fleet_size() {
    let delays = [1, 2, 3, 9].map(|failures| retry_delay(ReadReason::Reader, failures, 3_600));
    insta::assert_debug_snapshot!(delays.map(MilliDuration::as_millis), @"
    [
        300,
        600,
        1200,
        1200,
    ]
    ");
}

const FOLLOWER: ReadConditions = ReadConditions {
    has_read: true,
    is_listed: true,
    uptime: MilliDuration::from_millis(60_000),
    has_hub: true,
    is_view_requested: false,
    view_age: MilliDuration::from_millis(400),
};

#[test]
fn a_router_with_a_current_view_reads_only_without_a_hub_or_on_request() {
    assert_eq!(FOLLOWER.read_reason(), None);
    let alone = ReadConditions {
        has_hub: false,
        ..FOLLOWER
    };
    assert_eq!(alone.read_reason(), Some(ReadReason::Reader));
    let with_request = ReadConditions {
        is_view_requested: true,
        ..FOLLOWER
    };
    assert_eq!(with_request.read_reason(), Some(ReadReason::Reader));
}

#[test]
fn a_follower_with_an_outdated_view_probes_the_store() {
    let with_view_age = |millis| ReadConditions {
        view_age: MilliDuration::from_millis(millis),
        ..FOLLOWER
    };
    assert_eq!(with_view_age(1_700).read_reason(), None);
    assert_eq!(with_view_age(1_701).read_reason(), Some(ReadReason::Probe));
}

/// Guards against requests at a target that drains, by a router in touch whose hub is cut off and goes
/// on answering with its last view.
#[test]
fn a_follower_of_a_router_that_is_cut_off_reads_the_store_before_a_drain_is_over() {
    let shortest_drain = MilliDuration::from_millis(2_000);
    let poll_interval = MilliDuration::from_millis(100);
    let read_time = MilliDuration::from_millis(100);
    let is_unread = |view_age: &MilliDuration| {
        let conditions = ReadConditions {
            view_age: *view_age,
            ..FOLLOWER
        };
        conditions.read_reason().is_none()
    };
    let mut polls =
        (0_u64..).map(|poll| MilliDuration::from_millis(poll * poll_interval.as_millis()));
    let read_at = polls.find(|age| !is_unread(age)).unwrap();
    assert!(read_at + read_time <= shortest_drain, "{read_at:?}");
}

/// Routers that start together must not each act as the reader, and read the store four times, until
/// the router list contains the others.
#[test]
fn a_router_reads_once_until_the_others_are_known() {
    let started = ReadConditions {
        has_read: false,
        is_listed: false,
        uptime: MilliDuration::from_millis(5),
        has_hub: false,
        ..FOLLOWER
    };
    assert_eq!(started.read_reason(), Some(ReadReason::Initial));
    let waiting = ReadConditions {
        has_read: true,
        uptime: MilliDuration::from_millis(1_000),
        ..started
    };
    assert_eq!(waiting.read_reason(), None);
    let alone = ReadConditions {
        uptime: MilliDuration::from_millis(1_001),
        ..waiting
    };
    assert_eq!(alone.read_reason(), Some(ReadReason::Reader));
}
