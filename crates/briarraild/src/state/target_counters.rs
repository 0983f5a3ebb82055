//! This router's own counts of a target.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// Counts of one target; they outlive the snapshots that refer to them.
#[derive(Debug, Default)]
pub(crate) struct TargetCounters {
    in_flight: AtomicU32,
}

impl TargetCounters {
    /// Returns the requests in flight from this router.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request in flight until the guard is dropped.
    pub(crate) fn track_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard {
            counters: Arc::clone(self),
        }
    }
}

/// Holds one request in flight.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    counters: Arc<TargetCounters>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.counters.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
