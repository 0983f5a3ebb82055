//! Adoption of edits and whole configurations in any order.

use briarrail_fleet::{AdoptError, ConfigAdopter, encode_edit};
use briarrail_model::MilliTime;
use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::store_oracle::StoreOracle;

const EDITS: u64 = 20;

fn oracle() -> StoreOracle {
    let mut oracle = StoreOracle::new(Vec::new());
    for second in 0..EDITS {
        oracle.accept_edit(MilliTime::from_millis(second * 1_000));
    }
    oracle
}

/// Whatever copies arrive in whatever order, each state is an accepted one and none is older.
#[test]
fn any_order_leads_forward_through_accepted_states() {
    let oracle = oracle();
    for seed in 0..300 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut adopter = ConfigAdopter::default();
        let mut highest = 0;
        for _ in 0..120 {
            let index = rng.random_range(0..EDITS as usize);
            if rng.random_range(0..20) == 0 {
                adopter.adopt_snapshot(&oracle.states[index]);
            } else {
                adopter
                    .offer_encoded(&encode_edit(&oracle.edits[index]))
                    .unwrap();
            }
            assert!(adopter.sequence() >= highest, "seed {seed}");
            highest = adopter.sequence();
            if let Some(snapshot) = adopter.snapshot() {
                assert_eq!(*snapshot, oracle.states[highest as usize], "seed {seed}");
            }
        }
        adopter.adopt_snapshot(&oracle.states[0]);
        for edit in &oracle.edits {
            adopter.offer_edit(edit).unwrap();
        }
        assert_eq!(adopter.sequence(), EDITS, "seed {seed}");
    }
}

#[test]
fn edits_wait_for_a_configuration_and_for_those_before_them() {
    let oracle = oracle();
    let mut adopter = ConfigAdopter::default();
    assert_eq!(adopter.offer_edit(&oracle.edits[0]), Ok(false));
    assert!(adopter.snapshot().is_none());
    adopter.adopt_snapshot(&oracle.states[0]);
    assert_eq!(adopter.sequence(), 1);
    assert_eq!(adopter.offer_edit(&oracle.edits[2]), Ok(false));
    assert_eq!(adopter.offer_edit(&oracle.edits[1]), Ok(true));
    assert_eq!(adopter.sequence(), 3);
    assert_eq!(adopter.edits_after(1).map(|edits| edits.len()), Some(2));
    assert_eq!(adopter.edits_after(3), None);
}

#[test]
fn an_edit_that_does_not_fit_is_refused_whole() {
    let oracle = oracle();
    let mut adopter = ConfigAdopter::default();
    adopter.adopt_snapshot(&oracle.states[3]);
    let mut edit = oracle.edits[3].clone();
    let extra = oracle.edits[4].changes[0].clone();
    edit.changes.push(extra);
    edit.changes.push(edit.changes[0].clone());
    let refused = adopter.offer_edit(&edit);
    assert!(matches!(
        refused,
        Err(AdoptError::Refused { sequence: 4, .. })
    ));
    assert_eq!(adopter.snapshot(), Some(&oracle.states[3]));
    assert!(adopter.needs_whole());
    assert!(adopter.adopt_snapshot(&oracle.states[4]));
    assert!(!adopter.needs_whole());
}

#[test]
fn bytes_that_are_no_edit_are_refused() {
    let mut adopter = ConfigAdopter::default();
    let refused = adopter.offer_encoded(&Bytes::from_static(b"\xc1\x00"));
    assert!(matches!(refused, Err(AdoptError::Malformed(_))));
    assert!(adopter.adopt_encoded(b"nothing").is_err());
}
