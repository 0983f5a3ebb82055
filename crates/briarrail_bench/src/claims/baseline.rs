//! Baseline without batching: one write per claim and one per outcome.

use briarrail_model::{MilliDuration, MilliTime};
use briarrail_outcome::{ClaimSettings, StoreCall, StoreReply, StoreVersion};
use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::case_result::{CaseCounts, CaseResult};
use super::claim_case::ClaimCase;
use super::claim_simulation::{EPOCH, next_arrival_gap, store_mode_at, target_latency};
use super::send_tracker::SendTracker;
use super::store_model::StoreModel;

const RETRY_DELAY: MilliDuration = MilliDuration::from_millis(100);
const RECORD_BYTES: usize = 150;

/// A claim or an outcome that is to be written.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct BaselineWrite {
    key: u64,
    asked_at: MilliTime,
    /// `None` for a claim; for an outcome, the stored version of its claim.
    version: Option<u64>,
}

/// Runs a baseline case.
pub(crate) fn run(case: &ClaimCase) -> CaseResult {
    let settings = ClaimSettings::default();
    let mut rng = SmallRng::seed_from_u64(case.seed);
    let mut store = StoreModel::new(EPOCH, settings.store_timeout_ms);
    let mut counts = CaseCounts::new();
    let mut send_tracker = SendTracker::default();
    let mut queue = BinaryHeap::new();
    let end = EPOCH + MilliDuration::from_secs(case.seconds);
    let mut arrival = EPOCH;
    while arrival < end {
        let write = BaselineWrite {
            key: counts.asked,
            asked_at: arrival,
            version: None,
        };
        queue.push(Reverse((arrival, write)));
        counts.asked += 1;
        arrival = arrival + next_arrival_gap(case.claims_per_s, &mut rng);
    }
    while let Some(Reverse((now, write))) = queue.pop() {
        if now >= end {
            break;
        }
        let call = StoreCall::Put {
            key: format!("claims/{}", write.key),
            value: Bytes::from(vec![0; RECORD_BYTES]),
            expected: write.version.map(StoreVersion),
        };
        let mode = store_mode_at(case, now);
        let (reply, latency) = store.call(call, mode, now, &mut rng);
        let done_at = now + latency;
        match (reply, write.version) {
            (StoreReply::Written { version }, None) => {
                let waited = done_at.since(write.asked_at).as_millis();
                counts.record_wait(waited, true);
                send_tracker.record_send(&write.key.to_string());
                let outcome = BaselineWrite {
                    version: Some(version.0),
                    ..write
                };
                queue.push(Reverse((done_at + target_latency(&mut rng), outcome)));
            }
            (StoreReply::Written { .. }, Some(_)) => counts.recorded += 1,
            (_, Some(_)) => queue.push(Reverse((done_at + RETRY_DELAY, write))),
            (StoreReply::Unavailable, None)
                if done_at < write.asked_at + settings.claim_wait_ms =>
            {
                let jitter = MilliDuration::from_millis(rng.random_range(0..50));
                queue.push(Reverse((done_at + RETRY_DELAY + jitter, write)));
            }
            (StoreReply::Unavailable, None) => {
                counts.record_wait(done_at.since(write.asked_at).as_millis(), false);
                counts.not_run += 1;
            }
            (_, None) => counts.not_run += 1,
        }
    }
    counts.result(case, &store.counts, &send_tracker)
}
