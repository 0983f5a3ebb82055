//! Which routers read the store, and how often a fleet asks one that is away.

use briarrail_dispatch::{ReadDuty, ReadFacts, retry_pause};
use briarrail_model::MilliDuration;

/// smilsu-rail-grown, trouble-3: all 87 routers asked the store at the reader's pace while it was
/// down, 4,532 calls in a day.
#[test]
fn a_fleet_that_lost_the_store_probes_it_at_a_bounded_rate() {
    for routers in [1_usize, 9, 87, 300, 3_600] {
        let calls: f64 = (0..routers)
            .map(|router| {
                let duty = if router == 0 {
                    ReadDuty::Reader
                } else {
                    ReadDuty::Probe
                };
                1_000.0 / retry_pause(duty, 5, routers).as_millis() as f64
            })
            .sum();
        assert!(calls <= 22.0, "{calls} calls a second from {routers}");
    }
}

#[test]
fn the_reader_goes_on_at_its_own_pace() {
    let pauses = [1, 2, 3, 9].map(|failures| retry_pause(ReadDuty::Reader, failures, 3_600));
    insta::assert_debug_snapshot!(pauses.map(MilliDuration::as_millis), @"
    [
        300,
        600,
        1200,
        1200,
    ]
    ");
}

const FOLLOWER: ReadFacts = ReadFacts {
    has_read: true,
    is_listed: true,
    uptime: MilliDuration::from_millis(60_000),
    has_hub: true,
    is_view_wanted: false,
    view_age: MilliDuration::from_millis(400),
};

#[test]
fn one_router_reads_while_the_others_have_its_view() {
    assert_eq!(FOLLOWER.duty(), None);
    let alone = ReadFacts {
        has_hub: false,
        ..FOLLOWER
    };
    assert_eq!(alone.duty(), Some(ReadDuty::Reader));
    let asked = ReadFacts {
        is_view_wanted: true,
        ..FOLLOWER
    };
    assert_eq!(asked.duty(), Some(ReadDuty::Reader));
}

#[test]
fn a_follower_with_an_old_view_probes_the_store() {
    let aged = |millis| ReadFacts {
        view_age: MilliDuration::from_millis(millis),
        ..FOLLOWER
    };
    assert_eq!(aged(3_000).duty(), None);
    assert_eq!(aged(3_001).duty(), Some(ReadDuty::Probe));
}

/// smilsu-rail-grown, quiet-1: routers that started together each took themselves for the reader
/// until the list showed the others, and read four times.
#[test]
fn a_router_reads_once_before_it_knows_the_others() {
    let started = ReadFacts {
        has_read: false,
        is_listed: false,
        uptime: MilliDuration::from_millis(5),
        has_hub: false,
        ..FOLLOWER
    };
    assert_eq!(started.duty(), Some(ReadDuty::First));
    let waiting = ReadFacts {
        has_read: true,
        uptime: MilliDuration::from_millis(1_000),
        ..started
    };
    assert_eq!(waiting.duty(), None);
    let alone = ReadFacts {
        uptime: MilliDuration::from_millis(1_001),
        ..waiting
    };
    assert_eq!(alone.duty(), Some(ReadDuty::Reader));
}
