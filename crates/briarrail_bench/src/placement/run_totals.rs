//! Totals of a case.

use hdrhistogram::Histogram;

/// Totals over the measured time of a case.
#[derive(Debug)]
pub(crate) struct RunTotals {
    pub(crate) requests: u64,
    pub(crate) returning: u64,
    pub(crate) hits: u64,
    pub(crate) others_returning: u64,
    pub(crate) others_hits: u64,
    pub(crate) prefix: f64,
    pub(crate) waited: u64,
    pub(crate) others_waited: u64,
    pub(crate) refused: u64,
    pub(crate) others_refused: u64,
    pub(crate) records: u64,
    pub(crate) state_bytes: usize,
    pub(crate) decision_ns: Vec<u64>,
    pub(crate) others_wait: Histogram<u64>,
    pub(crate) surger_wait: Histogram<u64>,
}

impl Default for RunTotals {
    fn default() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are valid");
        Self {
            requests: 0,
            returning: 0,
            hits: 0,
            others_returning: 0,
            others_hits: 0,
            prefix: 0.0,
            waited: 0,
            others_waited: 0,
            refused: 0,
            others_refused: 0,
            records: 0,
            state_bytes: 0,
            decision_ns: Vec::new(),
            others_wait: histogram(),
            surger_wait: histogram(),
        }
    }
}

impl RunTotals {
    /// Counts a returning turn.
    pub(crate) fn count_return(&mut self, surger: bool, hit: bool) {
        self.returning += 1;
        self.hits += u64::from(hit);
        self.others_returning += u64::from(!surger);
        self.others_hits += u64::from(hit && !surger);
    }

    /// Records the time to the first token, in milliseconds.
    pub(crate) fn record_wait(&mut self, surger: bool, millis: u64) {
        let histogram = if surger {
            &mut self.surger_wait
        } else {
            &mut self.others_wait
        };
        histogram.saturating_record(millis.max(1));
    }
}
