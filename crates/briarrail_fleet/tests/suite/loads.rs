//! Publication, merging and distribution of load records.

use briarrail_fleet::LoadTable;
use briarrail_model::{LoadRecord, MilliDuration, MilliTime};
use briarrail_peer::LoadItem;

use crate::fake_fleet::{FakeFleet, target_name};

const REFRESH: MilliDuration = MilliDuration::from_secs(120);

fn record(second: u64, streams: u32, keep_share: u8) -> LoadRecord {
    LoadRecord {
        version: MilliTime::from_millis(1_700_000_000_000 + second * 1_000),
        streams,
        keep_share,
    }
}

#[test]
fn load_changes_outside_the_dead_band_are_published() {
    let mut table = LoadTable::default();
    for code in 1..=500 {
        table.observe(code, &record(0, 100, 255), 1, REFRESH);
    }
    let mut publish = |second, streams, share| {
        let record = record(second, streams, share);
        table.observe(7, &record, 1, REFRESH)
    };
    let published = [
        ("same", publish(2, 100, 255)),
        ("within the band above the mean", publish(4, 112, 255)),
        ("outside the band above the mean", publish(6, 113, 255)),
        ("share", publish(8, 113, 254)),
        ("within a second", publish(8, 113, 200)),
        ("outside the band below the mean", publish(12, 60, 254)),
        ("within the band below the mean", publish(14, 79, 254)),
        ("older", publish(13, 500, 254)),
        ("refresh", publish(140, 60, 254)),
    ];
    insta::assert_debug_snapshot!(published);
}

#[test]
fn records_merge_by_version_then_by_lower_keep_share() {
    let now = record(10, 0, 0).version;
    let mut table = LoadTable::default();
    let mut merge = |record: LoadRecord| table.merge(now, &LoadItem::new(7, 6, &record), 15);
    assert!(merge(record(5, 10, 200)));
    assert!(!merge(record(4, 99, 10)));
    assert!(!merge(record(5, 99, 201)));
    assert!(merge(record(5, 11, 199)));
    assert_eq!(table.get(7), Some(record(5, 11, 199)));
    assert_eq!(table.take_due(1, 10), []);
    assert_eq!(table.take_due(2, 10).len(), 1);
    assert_eq!(table.take_due(2, 10), []);
}

#[test]
fn a_record_reaches_every_router_after_one_cycle_of_distances() {
    for seed in 0..10 {
        let mut fleet = FakeFleet::new(9, seed);
        fleet.run(5_000);
        let target = target_name(4);
        let reader = fleet
            .routers
            .iter()
            .position(|router| router.node.observed_targets().contains(&target));
        let report = LoadRecord {
            version: fleet.unix_time(),
            streams: 17,
            keep_share: 99,
        };
        fleet.drive(reader.unwrap(), |node, now| {
            node.on_load_report(now, &target, &report);
        });
        // Four distances at 500 ms each, with a margin.
        fleet.run(2_500);
        for router in &fleet.routers {
            let known = router.node.load_of(&target).map(|record| record.streams);
            assert_eq!(known, Some(17), "seed {seed}");
        }
    }
}
