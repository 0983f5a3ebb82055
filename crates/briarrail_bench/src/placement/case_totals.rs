//! Totals of a simulated case.

use hdrhistogram::Histogram;

/// Totals over the measured time of a case; `others` are the customers that do not surge.
#[derive(Debug)]
pub(crate) struct CaseTotals {
    pub(crate) requests: u64,
    pub(crate) returning_turns: u64,
    pub(crate) cache_hits: u64,
    pub(crate) others_returning_turns: u64,
    pub(crate) others_cache_hits: u64,
    /// Sum of the cached fraction of each returning turn's context.
    pub(crate) prefix_reuse_sum: f64,
    pub(crate) waited: u64,
    pub(crate) others_waited: u64,
    pub(crate) refused: u64,
    pub(crate) others_refused: u64,
    pub(crate) records: u64,
    pub(crate) state_bytes: usize,
    pub(crate) decision_ns: Vec<u64>,
    pub(crate) others_first_token_ms: Histogram<u64>,
    pub(crate) surging_first_token_ms: Histogram<u64>,
}

impl Default for CaseTotals {
    fn default() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are valid");
        Self {
            requests: 0,
            returning_turns: 0,
            cache_hits: 0,
            others_returning_turns: 0,
            others_cache_hits: 0,
            prefix_reuse_sum: 0.0,
            waited: 0,
            others_waited: 0,
            refused: 0,
            others_refused: 0,
            records: 0,
            state_bytes: 0,
            decision_ns: Vec::new(),
            others_first_token_ms: histogram(),
            surging_first_token_ms: histogram(),
        }
    }
}

impl CaseTotals {
    /// Counts a turn of a chat that has earlier turns.
    pub(crate) fn record_returning_turn(&mut self, is_surging: bool, cache_hit: bool) {
        self.returning_turns += 1;
        self.cache_hits += u64::from(cache_hit);
        self.others_returning_turns += u64::from(!is_surging);
        self.others_cache_hits += u64::from(cache_hit && !is_surging);
    }

    /// Records the time from arrival to the first token.
    pub(crate) fn record_first_token(&mut self, is_surging: bool, millis: u64) {
        let histogram = if is_surging {
            &mut self.surging_first_token_ms
        } else {
            &mut self.others_first_token_ms
        };
        histogram.saturating_record(millis.max(1));
    }
}
