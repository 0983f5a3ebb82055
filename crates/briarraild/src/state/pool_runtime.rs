//! Limits of a pool that change with each request.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use briarrail_model::{CallSemantics, MilliDuration, MilliTime, StableHash};
use briarrail_policy::{AdmissionController, AdmissionDecision, AdmissionRequest, RetryBudget};
use briarrail_status::CacheTotals;

const RETRY_PERCENT: u32 = 20;
const RETRY_BURST: u32 = 20;
/// Weight of the past in the mean stream time, in requests.
const STREAM_TIME_SAMPLES: u64 = 64;
const STREAM_TIME: MilliDuration = MilliDuration::from_secs(12);

/// Admission and retry budget of a pool; it outlives the snapshots that refer to it.
#[derive(Debug)]
pub(crate) struct PoolRuntime {
    parts: Mutex<RuntimeParts>,
    returning: AtomicU64,
    reused: AtomicU64,
    stream_millis: AtomicU64,
}

#[derive(Debug)]
struct RuntimeParts {
    gate: AdmissionController,
    budget: RetryBudget,
}

impl PoolRuntime {
    /// Makes the runtime of a pool with the longest wait of a request.
    pub(crate) fn new(max_wait: MilliDuration) -> Self {
        let gate = AdmissionController::new(STREAM_TIME, max_wait);
        let budget = RetryBudget::new(RETRY_PERCENT, RETRY_BURST);
        Self {
            parts: Mutex::new(RuntimeParts { gate, budget }),
            returning: AtomicU64::new(0),
            reused: AtomicU64::new(0),
            stream_millis: AtomicU64::new(STREAM_TIME.as_millis()),
        }
    }

    /// Takes over the pool's load as a part of its capacity, if that is known, and learns what
    /// its customers usually use.
    pub(crate) fn refresh(&self, pressure: Option<f32>, now: MilliTime) {
        let mut parts = self.lock();
        parts.gate.refresh(pressure);
        parts.gate.update_baselines(now);
    }

    /// Decides on a request, and counts it when it is admitted.
    pub(crate) fn admit(&self, request: &AdmissionRequest) -> AdmissionDecision {
        let mut parts = self.lock();
        let choice = parts.gate.decide(request);
        if matches!(choice, AdmissionDecision::Admit { .. }) {
            parts.gate.start(request.customer);
            parts.budget.record_call();
        }
        choice
    }

    /// Counts the end of an admitted request.
    pub(crate) fn release(&self, customer: StableHash) {
        self.lock().gate.finish(customer);
    }

    /// Takes a retry out of the budget.
    pub(crate) fn try_retry(&self, semantics: CallSemantics) -> bool {
        self.lock().budget.try_retry(semantics)
    }

    /// Learns from the time that an answered request stayed at its target.
    pub(crate) fn record_stream_time(&self, time: MilliDuration) {
        let learned = self.stream_millis.load(Ordering::Relaxed);
        let sum = learned * (STREAM_TIME_SAMPLES - 1) + time.as_millis();
        // Racing samples may be lost, which an average can bear.
        self.stream_millis
            .store(sum / STREAM_TIME_SAMPLES, Ordering::Relaxed);
    }

    /// Returns the mean time that a request stays at its target.
    pub(crate) fn stream_time(&self) -> MilliDuration {
        MilliDuration::from_millis(self.stream_millis.load(Ordering::Relaxed).max(1))
    }

    /// Counts a returning chat, and whether its target had the context cached.
    pub(crate) fn count_returning_chat(&self, is_reused: bool) {
        self.returning.fetch_add(1, Ordering::Relaxed);
        self.reused
            .fetch_add(u64::from(is_reused), Ordering::Relaxed);
    }

    /// Returns the reuse of cached contexts since the start.
    pub(crate) fn cache_totals(&self) -> CacheTotals {
        CacheTotals {
            returning: self.returning.load(Ordering::Relaxed),
            reused: self.reused.load(Ordering::Relaxed),
        }
    }

    fn lock(&self) -> MutexGuard<'_, RuntimeParts> {
        self.parts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
