//! Tracks the failures of one kind of store call and schedules its retries.

use std::time::Duration;

use briarrail_dispatch::{ReadConditions, ReadReason, retry_delay};
use briarrail_model::MilliTime;
use briarrail_platform::StoreError;

use super::SharedControlState;
use super::control_state::ControlState;

/// Interval at which the retry delay is recomputed; the reason to read the store may change while
/// waiting.
const RETRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the conditions that decide whether this router reads the store.
pub(crate) fn read_conditions(state: &ControlState, has_read: bool) -> ReadConditions {
    let now = state.clock.now();
    ReadConditions {
        has_read,
        is_listed: state.is_listed,
        uptime: now.since(MilliTime::default()),
        has_hub: state.choose_hub(now).is_some(),
        is_view_requested: state.is_view_requested(now),
        view_age: state
            .view_age(now)
            .unwrap_or_else(|| state.time_without_view(now)),
    }
}

/// Failure count of one kind of store call.
///
/// Counts every call in the metrics, and logs the first failure and the recovery.
pub(crate) struct StoreHealth {
    call: &'static str,
    /// Number of consecutive failures.
    failures: u32,
}

impl StoreHealth {
    pub(crate) const fn new(call: &'static str) -> Self {
        Self { call, failures: 0 }
    }

    pub(crate) const fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Waits after a failure until the retry delay for the router's current reason to read the
    /// store has passed.
    pub(crate) async fn wait_for_retry(&self, state: &SharedControlState) {
        let failed_at = state.borrow().clock.now();
        loop {
            tokio::time::sleep(RETRY_CHECK_INTERVAL).await;
            let state = state.borrow();
            let reason = read_conditions(&state, true).read_reason();
            let routers = state.peers.len() + 1;
            let delay = retry_delay(reason.unwrap_or(ReadReason::Probe), self.failures, routers);
            if state.clock.now().since(failed_at) >= delay {
                return;
            }
        }
    }

    /// Records the outcome of a call.
    pub(crate) fn record<T>(
        &mut self,
        state: &SharedControlState,
        outcome: &Result<T, StoreError>,
    ) {
        let label = outcome.as_ref().map_or("failed", |_| "good");
        state.borrow().metrics.count_store_call(self.call, label);
        match outcome {
            Ok(_) if self.failures > 0 => {
                tracing::info!(event = "store_regained", call = self.call);
            }
            Err(error) if self.failures == 0 => {
                tracing::warn!(event = "store_lost", call = self.call, %error);
            }
            Ok(_) | Err(_) => {}
        }
        self.failures = if outcome.is_ok() {
            0
        } else {
            self.failures + 1
        };
        let mut state = state.borrow_mut();
        if outcome.is_err() {
            state.failing_calls.insert(self.call);
        } else {
            state.failing_calls.remove(self.call);
        }
    }
}
