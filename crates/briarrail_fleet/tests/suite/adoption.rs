//! Adoption of edits and snapshots in any order.

use briarrail_fleet::{AdoptError, ConfigAdopter, encode_edit};
use briarrail_model::MilliTime;
use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::store_oracle::StoreOracle;

const EDITS: u64 = 20;

fn oracle_with_edits() -> StoreOracle {
    let mut oracle = StoreOracle::new(Vec::new());
    for second in 0..EDITS {
        oracle.accept_edit(MilliTime::from_millis(second * 1_000));
    }
    oracle
}

/// With duplicates and reordering, each active state is one that the store accepted, and none is
/// older than the one before it.
#[test]
fn configuration_only_moves_forward_for_any_delivery_order() {
    let oracle = oracle_with_edits();
    for seed in 0..300 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut adopter = ConfigAdopter::default();
        let mut highest_sequence = 0;
        for _ in 0..120 {
            let index = rng.random_range(0..EDITS as usize);
            if rng.random_range(0..20) == 0 {
                adopter.adopt_snapshot(&oracle.states[index]);
            } else {
                adopter
                    .receive_encoded_edit(&encode_edit(&oracle.edits[index]))
                    .unwrap();
            }
            assert!(adopter.sequence() >= highest_sequence, "seed {seed}");
            highest_sequence = adopter.sequence();
            if let Some(snapshot) = adopter.snapshot() {
                assert_eq!(
                    *snapshot, oracle.states[highest_sequence as usize],
                    "seed {seed}"
                );
            }
        }
        adopter.adopt_snapshot(&oracle.states[0]);
        for edit in &oracle.edits {
            adopter.receive_edit(edit).unwrap();
        }
        assert_eq!(adopter.sequence(), EDITS, "seed {seed}");
    }
}

#[test]
fn out_of_order_edits_are_buffered() {
    let oracle = oracle_with_edits();
    let mut adopter = ConfigAdopter::default();
    assert_eq!(adopter.receive_edit(&oracle.edits[0]), Ok(false));
    assert!(adopter.snapshot().is_none());
    adopter.adopt_snapshot(&oracle.states[0]);
    assert_eq!(adopter.sequence(), 1);
    assert_eq!(adopter.receive_edit(&oracle.edits[2]), Ok(false));
    assert_eq!(adopter.receive_edit(&oracle.edits[1]), Ok(true));
    assert_eq!(adopter.sequence(), 3);
    assert_eq!(adopter.edits_after(1).map(|edits| edits.len()), Some(2));
    assert_eq!(adopter.edits_after(3), None);
}

#[test]
fn an_edit_that_does_not_apply_is_rejected_whole() {
    let oracle = oracle_with_edits();
    let mut adopter = ConfigAdopter::default();
    adopter.adopt_snapshot(&oracle.states[3]);
    let mut edit = oracle.edits[3].clone();
    let extra = oracle.edits[4].changes[0].clone();
    edit.changes.push(extra);
    edit.changes.push(edit.changes[0].clone());
    let rejected = adopter.receive_edit(&edit);
    assert!(matches!(
        rejected,
        Err(AdoptError::Rejected { sequence: 4, .. })
    ));
    assert_eq!(adopter.snapshot(), Some(&oracle.states[3]));
    assert!(adopter.needs_snapshot());
    assert!(adopter.adopt_snapshot(&oracle.states[4]));
    assert!(!adopter.needs_snapshot());
}

#[test]
fn undecodable_bytes_are_rejected() {
    let mut adopter = ConfigAdopter::default();
    let rejected = adopter.receive_encoded_edit(&Bytes::from_static(b"\xc1\x00"));
    assert!(matches!(rejected, Err(AdoptError::Malformed(_))));
    assert!(adopter.adopt_encoded_snapshot(b"nothing").is_err());
}
