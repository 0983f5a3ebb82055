//! State that control and traffic threads share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};

use arc_swap::{ArcSwap, Guard};

use super::{RoutingSnapshot, StopPhase};
use crate::telemetry::MetricSet;

/// State that control and traffic threads share.
///
/// The control thread replaces the snapshot; traffic threads read it without a lock.
#[derive(Debug)]
pub(crate) struct SharedState {
    snapshot: ArcSwap<RoutingSnapshot>,
    phase: AtomicU8,
    requests: AtomicU64,
    /// Metrics of the daemon.
    pub(crate) metrics: MetricSet,
}

impl SharedState {
    /// Makes the state of a router that has no configuration yet.
    pub(crate) fn new(metrics: MetricSet) -> Self {
        Self {
            snapshot: ArcSwap::from_pointee(RoutingSnapshot::default()),
            phase: AtomicU8::new(StopPhase::Serving as u8),
            requests: AtomicU64::new(0),
            metrics,
        }
    }

    /// Returns the present snapshot.
    pub(crate) fn snapshot(&self) -> Guard<Arc<RoutingSnapshot>> {
        self.snapshot.load()
    }

    /// Replaces the snapshot.
    pub(crate) fn publish(&self, snapshot: RoutingSnapshot) {
        self.snapshot.store(Arc::new(snapshot));
    }

    /// Returns how far a planned stop has come.
    pub(crate) fn phase(&self) -> StopPhase {
        match self.phase.load(Ordering::Acquire) {
            0 => StopPhase::Serving,
            1 => StopPhase::Announced,
            _ => StopPhase::Draining,
        }
    }

    /// Moves a planned stop on.
    pub(crate) fn enter_phase(&self, phase: StopPhase) {
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }

    /// Returns the requests under way.
    pub(crate) fn requests(&self) -> u64 {
        self.requests.load(Ordering::Acquire)
    }

    /// Counts a request under way until the guard is dropped.
    pub(crate) fn enter_request(self: &Arc<Self>) -> RequestGuard {
        self.requests.fetch_add(1, Ordering::AcqRel);
        RequestGuard {
            state: Arc::clone(self),
        }
    }
}

/// Holds one request under way.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    state: Arc<SharedState>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.state.requests.fetch_sub(1, Ordering::AcqRel);
    }
}
