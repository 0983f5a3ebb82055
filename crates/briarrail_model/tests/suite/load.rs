//! Tests of merging load records.

use bolero::generator::bolero_generator::driver::{Options, Rng};
use bolero::generator::{ValueGenerator, produce};
use briarrail_model::{LoadRecord, MilliTime};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn merge(left: LoadRecord, right: LoadRecord) -> LoadRecord {
    if right.supersedes(&left) { right } else { left }
}

/// Generates records with few distinct versions and shares, so that ties are frequent.
fn generate_records(seed: u64) -> [LoadRecord; 3] {
    let options = Options::default();
    let mut driver = Rng::new(SmallRng::seed_from_u64(seed), &options);
    let parts: [(u8, u8, u8); 3] = produce().generate(&mut driver).expect("enough input");
    parts.map(|(version, share, streams)| LoadRecord {
        version: MilliTime::from_millis(u64::from(version % 3)),
        streams: u32::from(streams % 3),
        keep_share: share % 3,
    })
}

#[test]
fn merge_is_commutative_and_associative_for_fixed_seeds() {
    for seed in 0..500 {
        let [first, second, third] = generate_records(seed);
        assert!(!first.supersedes(&first));
        assert_eq!(merge(first, second), merge(second, first), "seed {seed}");
        let left = merge(merge(first, second), third);
        let right = merge(first, merge(second, third));
        assert_eq!(left, right, "seed {seed}");
    }
}
