//! Fair admission of customers to a pool.

use briarrail_model::{CallPriority, MilliDuration, MilliTime, StableHash};

use crate::{AdmissionDecision, CustomerUsage};

/// Part of the pool's capacity from which on deferrable calls of surging customers wait.
const DEFER_AT: f64 = 0.70;
/// Part of the pool's capacity to which surging customers are held.
const ADMIT_AT: f64 = 0.72;
/// Part of the pool's capacity at which all deferrable calls and customers above share wait.
const FULL_AT: f64 = 0.95;
const MIN_FAIR_SHARE: f64 = 1.0;
const WAIT_STEP: MilliDuration = MilliDuration::from_millis(250);
const MIN_RETRY_AFTER_MS: f64 = 1_000.0;
const MAX_RETRY_AFTER_MS: f64 = 30_000.0;

/// What admission knows of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Hash of the customer.
    pub customer: StableHash,
    /// Priority of the request's route.
    pub priority: CallPriority,
    /// Time that the request has waited so far.
    pub waited: MilliDuration,
}

/// Admits requests to one pool so that a surging customer slows only itself.
///
/// A router sees a sliver of each customer's requests, and the balancer in front of the routers
/// makes the sliver alike on all of them. So the max-min fair share is taken over the router's
/// own requests in flight, against its own part of the pool's capacity; no counters of customers
/// travel between routers.
///
/// ```
/// use briarrail_model::{CallPriority, MilliDuration, MilliTime, StableHash};
/// use briarrail_policy::{AdmissionDecision, AdmissionController, AdmissionRequest};
///
/// let mut gate = AdmissionController::new(MilliDuration::from_secs(12), MilliDuration::from_secs(2));
/// gate.refresh(Some(0.5));
/// gate.update_baselines(MilliTime::from_millis(1_000));
/// let request = AdmissionRequest {
///     customer: StableHash(1),
///     priority: CallPriority::Interactive,
///     waited: MilliDuration::ZERO,
/// };
/// let admitted = AdmissionDecision::Admit { priority: CallPriority::Interactive };
/// assert_eq!(gate.decide(&request), admitted);
/// gate.start(request.customer);
/// ```
#[derive(Debug, Clone)]
pub struct AdmissionController {
    usage: CustomerUsage,
    stream_time: MilliDuration,
    max_wait: MilliDuration,
    baselines_updated_at: MilliTime,
    utilization: f64,
    fair_share: Option<f64>,
}

impl AdmissionController {
    /// Makes the gate of a pool from the mean time of a stream and the longest wait of a request.
    #[must_use]
    pub fn new(stream_time: MilliDuration, max_wait: MilliDuration) -> Self {
        Self {
            usage: CustomerUsage::default(),
            stream_time,
            max_wait,
            baselines_updated_at: MilliTime::default(),
            utilization: 0.0,
            fair_share: None,
        }
    }

    /// Takes over the pool's utilization: its load as a part of its capacity, if that is known.
    ///
    /// The control thread calls it several times a second.
    pub fn refresh(&mut self, utilization: Option<f32>) {
        self.utilization = f64::from(utilization.unwrap_or_default()).max(0.0);
        self.fair_share = None;
        if self.utilization <= DEFER_AT {
            return;
        }
        let budget = f64::from(self.usage.total()) * ADMIT_AT / self.utilization;
        let share = self.usage.fair_share(budget);
        self.fair_share = share.map(|share| share.max(MIN_FAIR_SHARE));
    }

    /// Learns the usual use of each customer, unless the pool is under utilization.
    ///
    /// The control thread calls it with each refresh. Without it every customer above its fair
    /// share counts as surging.
    pub fn update_baselines(&mut self, now: MilliTime) {
        let span = now.since(self.baselines_updated_at);
        self.baselines_updated_at = now;
        if self.utilization <= DEFER_AT {
            self.usage.update_baselines(span);
        }
    }

    /// Decides on a request; the caller counts an admitted one with [`start`](Self::start).
    ///
    /// A customer at its usual use is admitted until the pool is full; one that surges is held to
    /// its fair share, its deferrable calls first.
    #[must_use]
    pub fn decide(&self, request: &AdmissionRequest) -> AdmissionDecision {
        let admit = AdmissionDecision::Admit {
            priority: request.priority,
        };
        if self.utilization <= DEFER_AT {
            return admit;
        }
        let used = f64::from(self.usage.in_flight(request.customer)) + 1.0;
        let over_share = self.fair_share.is_some_and(|share| used > share);
        let deferrable = request.priority == CallPriority::Deferrable;
        let surging = self.usage.is_surging(request.customer);
        let full = self.utilization >= FULL_AT;
        if (surging || full) && (over_share || deferrable) {
            self.hold_back(request, used)
        } else {
            admit
        }
    }

    /// Counts a request that was admitted and sent.
    pub fn start(&mut self, customer: StableHash) {
        self.usage.start(customer);
    }

    /// Counts a request that ended.
    pub fn finish(&mut self, customer: StableHash) {
        self.usage.finish(customer);
    }

    /// Returns the requests in flight by customer.
    #[must_use]
    pub const fn usage(&self) -> &CustomerUsage {
        &self.usage
    }

    fn hold_back(&self, request: &AdmissionRequest, used: f64) -> AdmissionDecision {
        if request.waited < self.max_wait {
            return AdmissionDecision::Wait {
                retry_after: WAIT_STEP,
            };
        }
        AdmissionDecision::Refuse {
            retry_after: self.expected_relief(used),
        }
    }

    /// Returns the time in which streams end until the customer is under its share, or the pool
    /// under its limit.
    fn expected_relief(&self, used: f64) -> MilliDuration {
        let over_share = self.fair_share.map_or(1.0, |share| used / share);
        let excess = over_share.max(self.utilization / DEFER_AT).max(1.0);
        let millis = excess.ln() * self.stream_time.as_millis() as f64;
        let millis = millis.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        MilliDuration::from_millis(millis as u64)
    }
}
