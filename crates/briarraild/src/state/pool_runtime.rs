//! Admission, retry budget and statistics of a pool.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use briarrail_model::{CallSemantics, MilliDuration, MilliTime, StableHash};
use briarrail_policy::{AdmissionController, AdmissionDecision, AdmissionRequest, RetryBudget};
use briarrail_status::CacheTotals;

const RETRY_BUDGET_PERCENT: u32 = 20;
const RETRY_BUDGET_BURST: u32 = 20;
/// Number of requests over which the mean stream time is averaged exponentially.
const STREAM_TIME_SAMPLES: u64 = 64;
const INITIAL_STREAM_TIME: MilliDuration = MilliDuration::from_secs(12);

/// Admission, retry budget and statistics of a pool, shared by successive snapshots.
#[derive(Debug)]
pub(crate) struct PoolRuntime {
    limiters: Mutex<PoolLimiters>,
    returning_chats: AtomicU64,
    reused_contexts: AtomicU64,
    mean_stream_time_ms: AtomicU64,
}

#[derive(Debug)]
struct PoolLimiters {
    admission: AdmissionController,
    retry_budget: RetryBudget,
}

impl PoolRuntime {
    /// Creates the runtime of a pool; `max_wait` limits the wait of a request for admission.
    pub(crate) fn new(max_wait: MilliDuration) -> Self {
        let admission = AdmissionController::new(INITIAL_STREAM_TIME, max_wait);
        let retry_budget = RetryBudget::new(RETRY_BUDGET_PERCENT, RETRY_BUDGET_BURST);
        Self {
            limiters: Mutex::new(PoolLimiters {
                admission,
                retry_budget,
            }),
            returning_chats: AtomicU64::new(0),
            reused_contexts: AtomicU64::new(0),
            mean_stream_time_ms: AtomicU64::new(INITIAL_STREAM_TIME.as_millis()),
        }
    }

    /// Updates the utilization of the pool and the usage baselines of its customers.
    ///
    /// Utilization is the load as a fraction of capacity, or `None` if that is unknown.
    pub(crate) fn refresh(&self, utilization: Option<f32>, now: MilliTime) {
        let mut limiters = self.lock();
        limiters.admission.refresh(utilization);
        limiters.admission.update_baselines(now);
    }

    /// Decides whether to admit a request, and counts an admitted request.
    pub(crate) fn admit(&self, request: &AdmissionRequest) -> AdmissionDecision {
        let mut limiters = self.lock();
        let decision = limiters.admission.decide(request);
        if matches!(decision, AdmissionDecision::Admit { .. }) {
            limiters.admission.start(request.customer);
            limiters.retry_budget.record_call();
        }
        decision
    }

    /// Counts the end of an admitted request.
    pub(crate) fn release(&self, customer: StableHash) {
        self.lock().admission.finish(customer);
    }

    /// Takes a retry from the budget; returns whether it is allowed.
    pub(crate) fn try_retry(&self, semantics: CallSemantics) -> bool {
        self.lock().retry_budget.try_retry(semantics)
    }

    /// Adds the duration of an answered request to the mean stream time.
    pub(crate) fn record_stream_time(&self, stream_time: MilliDuration) {
        let mean_ms = self.mean_stream_time_ms.load(Ordering::Relaxed);
        let sum = mean_ms * (STREAM_TIME_SAMPLES - 1) + stream_time.as_millis();
        // Concurrent updates may lose a sample, which does not matter for an average.
        self.mean_stream_time_ms
            .store(sum / STREAM_TIME_SAMPLES, Ordering::Relaxed);
    }

    /// Returns the mean duration of answered requests, at least 1 ms.
    pub(crate) fn stream_time(&self) -> MilliDuration {
        MilliDuration::from_millis(self.mean_stream_time_ms.load(Ordering::Relaxed).max(1))
    }

    /// Counts a request of a returning chat, and whether the target had its context cached.
    pub(crate) fn count_returning_chat(&self, is_reused: bool) {
        self.returning_chats.fetch_add(1, Ordering::Relaxed);
        self.reused_contexts
            .fetch_add(u64::from(is_reused), Ordering::Relaxed);
    }

    /// Returns the number of returning chats and reused contexts since the start.
    pub(crate) fn cache_totals(&self) -> CacheTotals {
        CacheTotals {
            returning: self.returning_chats.load(Ordering::Relaxed),
            reused: self.reused_contexts.load(Ordering::Relaxed),
        }
    }

    fn lock(&self) -> MutexGuard<'_, PoolLimiters> {
        self.limiters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
