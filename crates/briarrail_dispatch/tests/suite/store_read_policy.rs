//! Which routers read the store, and how often a fleet asks one that is away.

use briarrail_dispatch::{ReadConditions, ReadReason, retry_delay};
use briarrail_model::MilliDuration;

/// smilsu-rail-grown, trouble-3: all 87 routers asked the store at the reader's pace while it was
/// down, 4,532 calls in a day.
#[test]
fn a_fleet_that_lost_the_store_probes_it_at_a_bounded_rate() {
    for routers in [1_usize, 9, 87, 300, 3_600] {
        let calls: f64 = (0..routers)
            .map(|router| {
                let duty = if router == 0 {
                    ReadReason::Reader
                } else {
                    ReadReason::Probe
                };
                1_000.0 / retry_delay(duty, 5, routers).as_millis() as f64
            })
            .sum();
        assert!(calls <= 22.0, "{calls} calls a second from {routers}");
    }
}

#[test]
fn the_reader_goes_on_at_its_own_pace() {
    let pauses = [1, 2, 3, 9].map(|failures| retry_delay(ReadReason::Reader, failures, 3_600));
    insta::assert_debug_snapshot!(pauses.map(MilliDuration::as_millis), @"
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
fn one_router_reads_while_the_others_have_its_view() {
    assert_eq!(FOLLOWER.read_reason(), None);
    let alone = ReadConditions {
        has_hub: false,
        ..FOLLOWER
    };
    assert_eq!(alone.read_reason(), Some(ReadReason::Reader));
    let asked = ReadConditions {
        is_view_requested: true,
        ..FOLLOWER
    };
    assert_eq!(asked.read_reason(), Some(ReadReason::Reader));
}

#[test]
fn a_follower_with_an_old_view_probes_the_store() {
    let aged = |millis| ReadConditions {
        view_age: MilliDuration::from_millis(millis),
        ..FOLLOWER
    };
    assert_eq!(aged(3_000).read_reason(), None);
    assert_eq!(aged(3_001).read_reason(), Some(ReadReason::Probe));
}

/// smilsu-rail-grown, quiet-1: routers that started together each took themselves for the reader
/// until the list showed the others, and read four times.
#[test]
fn a_router_reads_once_before_it_knows_the_others() {
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
