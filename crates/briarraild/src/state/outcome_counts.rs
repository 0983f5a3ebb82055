//! Counts of request outcomes.

use std::sync::atomic::{AtomicU64, Ordering};

use briarrail_outcome::RequestOutcome;
use briarrail_status::OutcomeTotals;

/// Requests since the start of the router, by outcome.
#[derive(Debug, Default)]
pub(crate) struct OutcomeCounts {
    answered: AtomicU64,
    not_run: AtomicU64,
    unknown: AtomicU64,
}

impl OutcomeCounts {
    /// Counts a request with an outcome.
    pub(crate) fn add(&self, outcome: RequestOutcome) {
        let counter = match outcome {
            RequestOutcome::Answered => &self.answered,
            RequestOutcome::NotRun(_) => &self.not_run,
            RequestOutcome::Unknown(_) => &self.unknown,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the counts.
    pub(crate) fn totals(&self) -> OutcomeTotals {
        OutcomeTotals {
            answered: self.answered.load(Ordering::Relaxed),
            not_run: self.not_run.load(Ordering::Relaxed),
            unknown: self.unknown.load(Ordering::Relaxed),
        }
    }
}
