//! Packing of load records and notices.

use briarrail_model::{LoadRecord, MilliDuration, MilliTime};
use briarrail_peer::{HostNotice, LoadItem, NoticeItem, NoticeState};
use bytes::BytesMut;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

#[test]
fn load_items_round_trip_despite_clock_skew() {
    for seed in 0..500 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let record = LoadRecord {
            version: MilliTime::from_millis(rng.random_range(10_000_000..1 << 45)),
            streams: rng.random_range(0..100_000),
            keep_share: rng.random(),
        };
        let item = LoadItem::new(rng.random(), rng.random(), &record);
        let mut packed = BytesMut::new();
        item.pack(&mut packed);
        assert_eq!(packed.len(), LoadItem::PACKED_BYTES);
        assert_eq!(LoadItem::unpack_all(&packed).collect::<Vec<_>>(), [item]);
        // The receiver's clock may be up to half an hour ahead of or behind the observer's.
        let skew = MilliDuration::from_secs(rng.random_range(0..1_800));
        let expected = LoadItem::quantize(&record);
        assert_eq!(item.to_record(record.version + skew), expected);
        assert_eq!(item.to_record(record.version - skew), expected);
    }
}

#[test]
fn notices_are_ordered_by_incarnation_then_refutation_then_state() {
    let notice = |incarnation, refutation, state| HostNotice {
        incarnation,
        refutation,
        state,
    };
    let ascending = [
        notice(1, 0, NoticeState::Alive),
        notice(1, 0, NoticeState::Leaving),
        notice(1, 0, NoticeState::Down),
        notice(1, 1, NoticeState::Alive),
        notice(2, 0, NoticeState::Alive),
    ];
    assert!(ascending.is_sorted());
    let mut packed = BytesMut::new();
    for notice in ascending {
        let item = NoticeItem {
            host: 7,
            distance_mask: 3,
            notice,
        };
        item.pack(&mut packed);
    }
    let unpacked: Vec<_> = NoticeItem::unpack_all(&packed)
        .map(|item| item.notice)
        .collect();
    assert_eq!(unpacked, ascending);
    packed.truncate(packed.len() - 1);
    assert_eq!(NoticeItem::unpack_all(&packed).count(), 0);
}
