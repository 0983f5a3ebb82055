//! Counters of this router's requests to a target.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// Counters of one target, shared by successive snapshots.
#[derive(Debug, Default)]
pub(crate) struct TargetCounters {
    in_flight: AtomicU32,
}

impl TargetCounters {
    /// Returns the number of this router's requests in flight to the target.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn track_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard {
            counters: Arc::clone(self),
        }
    }
}

/// Counts one request to a target as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    counters: Arc<TargetCounters>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.counters.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
