//! State that control and traffic threads share.

use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::{ArcSwap, Guard};
use briarrail_burn::BurnRecorder;
use briarrail_outcome::RequestOutcome;

use super::{ControlRate, OutcomeCounts, RoutingSnapshot, StopPhase};
use crate::telemetry::MetricSet;

/// Pool label of requests without a route.
const UNROUTED_POOL_LABEL: &str = "none";
/// Maximum number of customers per pool with their own burn rates.
const MAX_BURN_CUSTOMERS: usize = 64;

/// State that control and traffic threads share.
///
/// The control thread replaces the snapshot; traffic threads read it without a lock.
#[derive(Debug)]
pub(crate) struct SharedState {
    snapshot: ArcSwap<RoutingSnapshot>,
    stop_phase: AtomicU8,
    requests_in_flight: AtomicU64,
    control_rate: Mutex<ControlRate>,
    burn_recorder: Mutex<BurnRecorder>,
    /// Outcomes since the start.
    pub(crate) outcomes: OutcomeCounts,
    /// Metrics of the daemon.
    pub(crate) metrics: MetricSet,
}

impl SharedState {
    /// Creates the state of a router that has no configuration yet.
    pub(crate) fn new(metrics: MetricSet) -> Self {
        Self {
            snapshot: ArcSwap::from_pointee(RoutingSnapshot::default()),
            stop_phase: AtomicU8::new(StopPhase::Serving as u8),
            requests_in_flight: AtomicU64::new(0),
            control_rate: Mutex::default(),
            burn_recorder: Mutex::new(BurnRecorder::new(MAX_BURN_CUSTOMERS)),
            outcomes: OutcomeCounts::default(),
            metrics,
        }
    }

    /// Returns the current snapshot.
    pub(crate) fn snapshot(&self) -> Guard<Arc<RoutingSnapshot>> {
        self.snapshot.load()
    }

    /// Replaces the snapshot.
    pub(crate) fn publish(&self, snapshot: RoutingSnapshot) {
        self.snapshot.store(Arc::new(snapshot));
    }

    /// Returns the phase of the graceful stop.
    pub(crate) fn stop_phase(&self) -> StopPhase {
        match self.stop_phase.load(Ordering::Acquire) {
            0 => StopPhase::Serving,
            1 => StopPhase::Announced,
            _ => StopPhase::Draining,
        }
    }

    /// Advances the graceful stop to a phase; it never goes back to an earlier one.
    pub(crate) fn advance_stop_phase(&self, phase: StopPhase) {
        self.stop_phase.fetch_max(phase as u8, Ordering::AcqRel);
    }

    /// Locks and returns the rate of the control traffic.
    pub(crate) fn control_rate(&self) -> MutexGuard<'_, ControlRate> {
        self.control_rate
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks and returns the burn recorder, which counts requests against their objectives.
    pub(crate) fn burn_recorder(&self) -> MutexGuard<'_, BurnRecorder> {
        self.burn_recorder
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request that was not routed to a pool.
    pub(crate) fn count_unrouted_request(&self, outcome: RequestOutcome) {
        self.metrics.count_request(UNROUTED_POOL_LABEL, outcome);
        self.outcomes.add(outcome);
    }

    /// Returns the number of requests in flight.
    pub(crate) fn requests_in_flight(&self) -> u64 {
        self.requests_in_flight.load(Ordering::Acquire)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn track_request(self: &Arc<Self>) -> RequestGuard {
        self.requests_in_flight.fetch_add(1, Ordering::AcqRel);
        RequestGuard {
            state: Arc::clone(self),
        }
    }
}

/// Counts one request of the router as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    state: Arc<SharedState>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.state.requests_in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
