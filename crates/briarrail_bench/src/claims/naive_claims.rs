//! The baseline: one write per claim and one per outcome.

use briarrail_model::{MilliDuration, MilliTime};
use briarrail_outcome::{ClaimSettings, StoreCall, StoreReply, StoreVersion};
use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::case_result::{CaseCounts, CaseResult};
use super::case_spec::CaseSpec;
use super::claim_fleet::{EPOCH, mode_at, next_gap, target_time};
use super::key_ledger::KeyLedger;
use super::store_model::StoreModel;

const RETRY_PAUSE: MilliDuration = MilliDuration::from_millis(100);
const CLAIM_BYTES: usize = 150;

/// A claim or an outcome that waits for its write.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct NaiveWrite {
    key: u64,
    asked_at: MilliTime,
    /// Version of the claim when this is its outcome.
    version: Option<u64>,
}

/// Runs the baseline of a case.
pub(crate) fn run(spec: &CaseSpec) -> CaseResult {
    let settings = ClaimSettings::default();
    let mut rng = SmallRng::seed_from_u64(spec.seed);
    let mut store = StoreModel::new(EPOCH, settings.store_timeout_ms);
    let mut counts = CaseCounts::new();
    let mut ledger = KeyLedger::default();
    let mut queue = BinaryHeap::new();
    let end = EPOCH + MilliDuration::from_secs(spec.seconds);
    let mut arrival = EPOCH;
    while arrival < end {
        let write = NaiveWrite {
            key: counts.asked,
            asked_at: arrival,
            version: None,
        };
        queue.push(Reverse((arrival, write)));
        counts.asked += 1;
        arrival = arrival + next_gap(spec.claims_per_s, &mut rng);
    }
    while let Some(Reverse((now, write))) = queue.pop() {
        if now >= end {
            break;
        }
        let call = StoreCall::Put {
            key: format!("claims/{}", write.key),
            value: Bytes::from(vec![0; CLAIM_BYTES]),
            expected: write.version.map(StoreVersion),
        };
        let mode = mode_at(spec, now);
        let (reply, latency) = store.call(call, mode, now, &mut rng);
        let done_at = now + latency;
        match (reply, write.version) {
            (StoreReply::Written { version }, None) => {
                let waited = done_at.since(write.asked_at).as_millis();
                counts.note_wait(waited, true);
                ledger.note_send(&write.key.to_string());
                let outcome = NaiveWrite {
                    version: Some(version.0),
                    ..write
                };
                queue.push(Reverse((done_at + target_time(&mut rng), outcome)));
            }
            (StoreReply::Written { .. }, Some(_)) => counts.recorded += 1,
            (_, Some(_)) => queue.push(Reverse((done_at + RETRY_PAUSE, write))),
            (StoreReply::Unavailable, None)
                if done_at < write.asked_at + settings.claim_wait_ms =>
            {
                let jitter = MilliDuration::from_millis(rng.random_range(0..50));
                queue.push(Reverse((done_at + RETRY_PAUSE + jitter, write)));
            }
            (StoreReply::Unavailable, None) => {
                counts.note_wait(done_at.since(write.asked_at).as_millis(), false);
                counts.not_run += 1;
            }
            (_, None) => counts.not_run += 1,
        }
    }
    counts.result(spec, &store.counts, &ledger)
}
