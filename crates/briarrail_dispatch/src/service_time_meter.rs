//! Measurement of the time for which a request occupies a slot of a target.
//!
//! By Little's law, the slots in use are the product of throughput and service time. Both are known
//! for all routers together from the exchange, so that each router measures a target from every
//! request that it executes, and not only from its own. Unlike response times, the result contains
//! no time in a queue.

use std::ops::Add;

use briarrail_model::{MilliDuration, MilliTime};

use crate::outcome_window::OUTCOME_WINDOW;
use crate::sliding_window::SlidingWindow;
use crate::{CompletionBasis, OutcomeTotals};

/// Number of completed requests after which a measurement has lost most of its weight.
const MEMORY_REQUESTS: f32 = 25.0;
/// Upper bound of the time for which each measurement keeps weight, however many requests complete,
/// in milliseconds.
const MAX_MIN_MEMORY_MS: f32 = 3_000.0;
/// Usual time between two measurements, in milliseconds.
const EXCHANGE_INTERVAL_MS: f32 = 300.0;
/// Number of service times after which the slots in use say little about the present ones.
const VALID_SERVICE_TIMES: f32 = 3.0;
/// Time after which a measurement has lost most of its weight even if no request completes, in
/// milliseconds: the target may have recovered.
const MAX_MEMORY_MS: f32 = 15_000.0;
/// Part of the window of the outcomes that must be measured before the service time is.
const MIN_WINDOW_COVERAGE: f32 = 0.75;
/// Maximum time between two measurements that is counted, so that one after a pause does not
/// replace all earlier ones.
const MAX_SPAN: MilliDuration = MilliDuration::from_millis(1_000);

/// Busy time of slots, and the requests that were completed in it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct SlotUse {
    /// Busy time in slot milliseconds.
    pub(crate) busy_ms: f32,
    pub(crate) completed: f32,
    /// Part of the completed requests that were answered.
    pub(crate) answered: f32,
}

impl SlotUse {
    /// Returns the mean time for which a request occupied a slot, or `None` if too few were
    /// completed.
    pub(crate) fn service_time_ms(self, basis: CompletionBasis) -> Option<f32> {
        let requests = self.requests(basis);
        (requests >= 1.0 && self.busy_ms > 0.0).then(|| self.busy_ms / requests)
    }

    /// Returns the number of requests that count as completed.
    pub(crate) const fn requests(self, basis: CompletionBasis) -> f32 {
        match basis {
            CompletionBasis::Outcomes => self.completed,
            CompletionBasis::Answers => self.answered,
        }
    }
}

impl Add for SlotUse {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            busy_ms: self.busy_ms + other.busy_ms,
            completed: self.completed + other.completed,
            answered: self.answered + other.answered,
        }
    }
}

/// Busy time of slots over a span, both in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
struct BusyTime {
    busy_ms: f32,
    span_ms: f32,
}

impl Add for BusyTime {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            busy_ms: self.busy_ms + other.busy_ms,
            span_ms: self.span_ms + other.span_ms,
        }
    }
}

/// Measures the service time of one target.
#[derive(Debug, Clone)]
pub(crate) struct ServiceTimeMeter {
    /// Busy time within the window of the outcomes.
    recent_busy: SlidingWindow<BusyTime>,
    /// Decaying sums.
    slot_use: SlotUse,
    measured_at: Option<MilliTime>,
}

impl Default for ServiceTimeMeter {
    fn default() -> Self {
        Self {
            recent_busy: SlidingWindow::new(OUTCOME_WINDOW),
            slot_use: SlotUse::default(),
            measured_at: None,
        }
    }
}

impl ServiceTimeMeter {
    /// Adds a measurement: the slots in use, and the outcomes within their window.
    pub(crate) fn measure(&mut self, busy_slots: f32, outcomes: OutcomeTotals, now: MilliTime) {
        let since = self.measured_at.replace(now);
        let span = since.map_or(MilliDuration::ZERO, |at| now.since(at));
        let span_ms = span.min(MAX_SPAN).as_millis() as f32;
        let busy = BusyTime {
            busy_ms: busy_slots * span_ms,
            span_ms,
        };
        self.recent_busy.add(busy, now);
        let recent = self.recent_busy.sum(now);
        let window_ms = OUTCOME_WINDOW.as_millis() as f32;
        // Before that, the completed requests and the busy time may not cover the same time.
        if recent.span_ms < window_ms * MIN_WINDOW_COVERAGE {
            return;
        }
        let completed = outcomes.requests() * span_ms / window_ms;
        let answered = outcomes.answered() * span_ms / window_ms;
        let forgotten = (completed / MEMORY_REQUESTS)
            .min(span_ms / self.min_memory_ms())
            .max(span_ms / MAX_MEMORY_MS);
        let kept = (-forgotten).exp();
        self.slot_use = SlotUse {
            busy_ms: self
                .slot_use
                .busy_ms
                .mul_add(kept, recent.busy_ms * span_ms / recent.span_ms),
            completed: self.slot_use.completed.mul_add(kept, completed),
            answered: self.slot_use.answered.mul_add(kept, answered),
        };
    }

    /// Returns the minimum time after which a measurement has lost most of its weight.
    ///
    /// The shorter the requests, the less one measurement of the slots in use says about the time
    /// until the next one, and the more of them are needed.
    fn min_memory_ms(&self) -> f32 {
        let service_time_ms = self.slot_use.service_time_ms(CompletionBasis::Outcomes);
        let service_time_ms = service_time_ms.unwrap_or_default();
        let valid_ms = VALID_SERVICE_TIMES * service_time_ms;
        let intervals = EXCHANGE_INTERVAL_MS / valid_ms.max(1.0);
        (intervals * EXCHANGE_INTERVAL_MS).min(MAX_MIN_MEMORY_MS)
    }

    /// Returns the busy time and the completed requests; the newest ones weigh most.
    pub(crate) const fn slot_use(&self) -> SlotUse {
        self.slot_use
    }
}
