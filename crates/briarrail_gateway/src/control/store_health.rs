//! What the calls of one kind say of the store.

use std::time::Duration;

use briarrail_dispatch::{ReadConditions, ReadReason, retry_delay};
use briarrail_model::MilliTime;
use briarrail_platform::StoreError;

use super::SharedControl;
use super::control_state::ControlState;

/// Time between two looks at whether a failed call is due again; the duty may change meanwhile.
const PAUSE_STEP: Duration = Duration::from_millis(100);

/// Returns what decides whether this router reads the store.
pub(crate) fn read_facts(state: &ControlState, has_read: bool) -> ReadConditions {
    let now = state.clock.now();
    let no_view = || now.since(state.hub_waited_at.unwrap_or_default());
    ReadConditions {
        has_read,
        is_listed: state.are_routers_listed,
        uptime: now.since(MilliTime::default()),
        has_hub: state.choose_hub(now).is_some(),
        is_view_requested: state.is_view_wanted(now),
        view_age: state.view_age(now).unwrap_or_else(no_view),
    }
}

/// Tells dependency changes once, and counts every call.
pub(crate) struct StoreHealth {
    call: &'static str,
    /// Failures in a row.
    failures: u32,
}

impl StoreHealth {
    pub(crate) const fn new(call: &'static str) -> Self {
        Self { call, failures: 0 }
    }

    pub(crate) const fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Waits after a failure, until it is time to ask again by the duty that the router then has.
    pub(crate) async fn pause(&self, state: &SharedControl) {
        let failed_at = state.borrow().clock.now();
        loop {
            tokio::time::sleep(PAUSE_STEP).await;
            let state = state.borrow();
            let duty = read_facts(&state, true).read_reason();
            let routers = state.peers.len() + 1;
            let pause = retry_delay(duty.unwrap_or(ReadReason::Probe), self.failures, routers);
            if state.clock.now().since(failed_at) >= pause {
                return;
            }
        }
    }

    pub(crate) fn record<T>(&mut self, state: &SharedControl, outcome: &Result<T, StoreError>) {
        let text = outcome.as_ref().map_or("failed", |_| "good");
        state.borrow().metrics.count_store_call(self.call, text);
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
            state.failing_reads.insert(self.call);
        } else {
            state.failing_reads.remove(self.call);
        }
    }
}
