//! Fair admission of customers' requests to a pool.

use briarrail_model::{CallPriority, MilliDuration, MilliTime, StableHash};

use crate::{AdmissionDecision, CustomerUsage};

/// Utilization above which deferrable calls of surging customers wait and baselines are not
/// updated.
const THROTTLE_UTILIZATION: f64 = 0.70;
/// Utilization to which surging customers are limited by their fair share.
const FAIR_SHARE_UTILIZATION: f64 = 0.72;
/// Utilization from which deferrable calls and customers above their fair share wait even without
/// a surge.
const FULL_UTILIZATION: f64 = 0.95;
const MIN_FAIR_SHARE: f64 = 1.0;
const RETRY_INTERVAL: MilliDuration = MilliDuration::from_millis(250);
const MIN_RETRY_AFTER_MS: f64 = 1_000.0;
const MAX_RETRY_AFTER_MS: f64 = 30_000.0;

/// Input of admission for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Hash of the customer.
    pub customer: StableHash,
    /// Priority of the request's route.
    pub priority: CallPriority,
    /// Time that the request has already waited.
    pub waited: MilliDuration,
}

/// Admits requests to one pool so that a surging customer slows only itself.
///
/// The load balancer in front of the routers spreads each customer's requests evenly over them.
/// Each router therefore computes the max-min fair share over its own requests in flight and its
/// own part of the pool's capacity, and the routers need not exchange counts per customer.
///
/// ```
/// use briarrail_model::{CallPriority, MilliDuration, MilliTime, StableHash};
/// use briarrail_policy::{AdmissionController, AdmissionDecision, AdmissionRequest};
///
/// let stream_time = MilliDuration::from_secs(12);
/// let max_wait = MilliDuration::from_secs(2);
/// let mut controller = AdmissionController::new(stream_time, max_wait);
/// controller.refresh(Some(0.5));
/// controller.update_baselines(MilliTime::from_millis(1_000));
/// let request = AdmissionRequest {
///     customer: StableHash(1),
///     priority: CallPriority::Interactive,
///     waited: MilliDuration::ZERO,
/// };
/// let admitted = AdmissionDecision::Admit { priority: CallPriority::Interactive };
/// assert_eq!(controller.decide(&request), admitted);
/// controller.start(request.customer);
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
    /// Creates the controller of a pool from the mean duration of a stream and the longest wait of
    /// a request.
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

    /// Sets the pool's utilization, if known, and recomputes the fair share.
    ///
    /// Utilization is the load as a fraction of capacity; an unknown one counts as 0. The control
    /// thread calls this several times a second.
    pub fn refresh(&mut self, utilization: Option<f32>) {
        self.utilization = f64::from(utilization.unwrap_or_default()).max(0.0);
        self.fair_share = None;
        if self.utilization <= THROTTLE_UTILIZATION {
            return;
        }
        let budget = f64::from(self.usage.total()) * FAIR_SHARE_UTILIZATION / self.utilization;
        let share = self.usage.fair_share(budget);
        self.fair_share = share.map(|share| share.max(MIN_FAIR_SHARE));
    }

    /// Updates the baseline of each customer, unless utilization is high.
    ///
    /// The control thread calls this with each refresh; without a baseline, every customer above
    /// its fair share would count as surging.
    pub fn update_baselines(&mut self, now: MilliTime) {
        let span = now.since(self.baselines_updated_at);
        self.baselines_updated_at = now;
        if self.utilization <= THROTTLE_UTILIZATION {
            self.usage.update_baselines(span);
        }
    }

    /// Decides whether a request is admitted.
    ///
    /// The caller must count an admitted request with [`start`](Self::start). A customer at its
    /// baseline is admitted until the pool is full. A surging customer is limited to its fair
    /// share, and its deferrable calls wait even below that.
    #[must_use]
    pub fn decide(&self, request: &AdmissionRequest) -> AdmissionDecision {
        let admit = AdmissionDecision::Admit {
            priority: request.priority,
        };
        if self.utilization <= THROTTLE_UTILIZATION {
            return admit;
        }
        let in_flight_after = f64::from(self.usage.in_flight(request.customer)) + 1.0;
        let over_share = self.fair_share.is_some_and(|share| in_flight_after > share);
        let deferrable = request.priority == CallPriority::Deferrable;
        let surging = self.usage.is_surging(request.customer);
        let full = self.utilization >= FULL_UTILIZATION;
        if (surging || full) && (over_share || deferrable) {
            self.defer_or_refuse(request, in_flight_after)
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

    fn defer_or_refuse(
        &self,
        request: &AdmissionRequest,
        in_flight_after: f64,
    ) -> AdmissionDecision {
        if request.waited < self.max_wait {
            return AdmissionDecision::Wait {
                retry_after: RETRY_INTERVAL,
            };
        }
        AdmissionDecision::Refuse {
            retry_after: self.estimated_retry_after(in_flight_after),
        }
    }

    /// Estimates the time until enough streams end for the customer to fall below its fair share
    /// and for the pool to fall below [`THROTTLE_UTILIZATION`].
    fn estimated_retry_after(&self, in_flight_after: f64) -> MilliDuration {
        let share_ratio = self.fair_share.map_or(1.0, |share| in_flight_after / share);
        let load_ratio = share_ratio
            .max(self.utilization / THROTTLE_UTILIZATION)
            .max(1.0);
        let millis = load_ratio.ln() * self.stream_time.as_millis() as f64;
        let millis = millis.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        MilliDuration::from_millis(millis as u64)
    }
}
