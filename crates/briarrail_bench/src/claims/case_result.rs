//! Counters and results of a case.

use hdrhistogram::Histogram;
use serde::Serialize;

use super::claim_case::ClaimCase;
use super::send_tracker::SendTracker;
use super::store_model::StoreCounts;

const MAX_WRITES_PER_S: f64 = 300.0;
const MAX_WAIT_P99_MS: u64 = 500;
const HISTOGRAM_MAX_MS: u64 = 600_000;

/// Results of a case; times are in milliseconds, rates per second.
#[derive(Debug, Serialize)]
pub(crate) struct CaseResult {
    pub(crate) case: String,
    pub(crate) seed: u64,
    pub(crate) routers: usize,
    /// New claims requested.
    pub(crate) asked_per_s: f64,
    /// Claims granted.
    pub(crate) claims_per_s: f64,
    /// Write calls, including rejected ones and deletions.
    pub(crate) writes_per_s: f64,
    pub(crate) reads_per_s: f64,
    pub(crate) store_kb_per_s: f64,
    /// Time until a claim was granted.
    pub(crate) wait_ms_p50: u64,
    pub(crate) wait_ms_p99: u64,
    /// Time until a call was granted, replayed or refused.
    pub(crate) any_wait_ms_p99: u64,
    pub(crate) not_run: u64,
    /// Retries that received the recorded answer.
    pub(crate) repeated: u64,
    pub(crate) unknown: u64,
    /// Answers recorded in the store.
    pub(crate) recorded: u64,
    /// Grants without a recorded outcome at the end, including those in flight.
    pub(crate) unrecorded: u64,
    /// Sends beyond the first of each key.
    pub(crate) doubled: u64,
    pub(crate) bound_met: bool,
}

/// Counters of a running case.
#[derive(Debug)]
pub(crate) struct CaseCounts {
    pub(crate) asked: u64,
    pub(crate) not_run: u64,
    pub(crate) repeated: u64,
    pub(crate) unknown: u64,
    pub(crate) recorded: u64,
    /// Granted calls that the target refused.
    pub(crate) refused: u64,
    pub(crate) grant_waits: Histogram<u64>,
    pub(crate) all_waits: Histogram<u64>,
}

impl CaseCounts {
    pub(crate) fn new() -> Self {
        let waits = || Histogram::new_with_bounds(1, HISTOGRAM_MAX_MS, 3).expect("fixed bounds");
        Self {
            asked: 0,
            not_run: 0,
            repeated: 0,
            unknown: 0,
            recorded: 0,
            refused: 0,
            grant_waits: waits(),
            all_waits: waits(),
        }
    }

    /// Records the wait of a call that was resolved.
    pub(crate) fn record_wait(&mut self, millis: u64, is_grant: bool) {
        self.all_waits.saturating_record(millis);
        if is_grant {
            self.grant_waits.saturating_record(millis);
        }
    }

    /// Computes the result of a case.
    pub(crate) fn result(
        &self,
        case: &ClaimCase,
        store: &StoreCounts,
        send_tracker: &SendTracker,
    ) -> CaseResult {
        let seconds = case.seconds as f64;
        let rate = |count: u64| (count as f64 / seconds * 10.0).round() / 10.0;
        let granted = self.grant_waits.len();
        let writes_per_s = rate(store.writes);
        let wait_ms_p99 = self.grant_waits.value_at_quantile(0.99);
        let doubled = send_tracker.duplicate_sends();
        let is_fast = wait_ms_p99 < MAX_WAIT_P99_MS;
        CaseResult {
            case: case.name.clone(),
            seed: case.seed,
            routers: case.routers,
            asked_per_s: rate(self.asked),
            claims_per_s: rate(granted),
            writes_per_s,
            reads_per_s: rate(store.reads),
            store_kb_per_s: rate(store.bytes / 1_000),
            wait_ms_p50: self.grant_waits.value_at_quantile(0.5),
            wait_ms_p99,
            any_wait_ms_p99: self.all_waits.value_at_quantile(0.99),
            not_run: self.not_run,
            repeated: self.repeated,
            unknown: self.unknown,
            recorded: self.recorded,
            unrecorded: granted.saturating_sub(self.recorded + self.refused),
            doubled,
            bound_met: writes_per_s <= MAX_WRITES_PER_S && is_fast && doubled == 0,
        }
    }
}
