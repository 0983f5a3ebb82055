//! How often a fleet asks a store that is away.

use briarrail_dispatch::{ReadDuty, retry_pause};
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
