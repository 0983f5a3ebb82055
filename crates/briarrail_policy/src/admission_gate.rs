//! Fair admission of customers to a pool.

use briarrail_model::{CallPriority, MilliDuration, MilliTime, StableHash};

use crate::{AdmissionChoice, CustomerShares};

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
/// use briarrail_policy::{AdmissionChoice, AdmissionGate, AdmissionRequest};
///
/// let mut gate = AdmissionGate::new(MilliDuration::from_secs(12), MilliDuration::from_secs(2));
/// gate.refresh(Some(0.5));
/// gate.learn(MilliTime::from_millis(1_000));
/// let request = AdmissionRequest {
///     customer: StableHash(1),
///     priority: CallPriority::Interactive,
///     waited: MilliDuration::ZERO,
/// };
/// let admitted = AdmissionChoice::Admit { priority: CallPriority::Interactive };
/// assert_eq!(gate.decide(&request), admitted);
/// gate.start(request.customer);
/// ```
#[derive(Debug, Clone)]
pub struct AdmissionGate {
    shares: CustomerShares,
    stream_time: MilliDuration,
    max_wait: MilliDuration,
    learned_at: MilliTime,
    pressure: f64,
    fair_share: Option<f64>,
}

impl AdmissionGate {
    /// Makes the gate of a pool from the mean time of a stream and the longest wait of a request.
    #[must_use]
    pub fn new(stream_time: MilliDuration, max_wait: MilliDuration) -> Self {
        Self {
            shares: CustomerShares::default(),
            stream_time,
            max_wait,
            learned_at: MilliTime::default(),
            pressure: 0.0,
            fair_share: None,
        }
    }

    /// Takes over the pool's pressure: its load as a part of its capacity, if that is known.
    ///
    /// The control thread calls it several times a second.
    pub fn refresh(&mut self, pressure: Option<f32>) {
        self.pressure = f64::from(pressure.unwrap_or_default()).max(0.0);
        self.fair_share = None;
        if self.pressure <= DEFER_AT {
            return;
        }
        let budget = f64::from(self.shares.total()) * ADMIT_AT / self.pressure;
        let share = self.shares.fair_share(budget);
        self.fair_share = share.map(|share| share.max(MIN_FAIR_SHARE));
    }

    /// Learns the usual use of each customer, unless the pool is under pressure.
    ///
    /// The control thread calls it with each refresh. Without it every customer above its fair
    /// share counts as surging.
    pub fn learn(&mut self, now: MilliTime) {
        let span = now.since(self.learned_at);
        self.learned_at = now;
        if self.pressure <= DEFER_AT {
            self.shares.learn(span);
        }
    }

    /// Decides on a request; the caller counts an admitted one with [`start`](Self::start).
    ///
    /// A customer at its usual use is admitted until the pool is full; one that surges is held to
    /// its fair share, its deferrable calls first.
    #[must_use]
    pub fn decide(&self, request: &AdmissionRequest) -> AdmissionChoice {
        let admit = AdmissionChoice::Admit {
            priority: request.priority,
        };
        if self.pressure <= DEFER_AT {
            return admit;
        }
        let used = f64::from(self.shares.in_flight(request.customer)) + 1.0;
        let over_share = self.fair_share.is_some_and(|share| used > share);
        let deferrable = request.priority == CallPriority::Deferrable;
        let surging = self.shares.is_surging(request.customer);
        let full = self.pressure >= FULL_AT;
        if (surging || full) && (over_share || deferrable) {
            self.hold_back(request, used)
        } else {
            admit
        }
    }

    /// Counts a request that was admitted and sent.
    pub fn start(&mut self, customer: StableHash) {
        self.shares.start(customer);
    }

    /// Counts a request that ended.
    pub fn finish(&mut self, customer: StableHash) {
        self.shares.finish(customer);
    }

    /// Returns the requests in flight by customer.
    #[must_use]
    pub const fn shares(&self) -> &CustomerShares {
        &self.shares
    }

    fn hold_back(&self, request: &AdmissionRequest, used: f64) -> AdmissionChoice {
        if request.waited < self.max_wait {
            return AdmissionChoice::Wait {
                retry_after: WAIT_STEP,
            };
        }
        AdmissionChoice::Refuse {
            retry_after: self.expected_relief(used),
        }
    }

    /// Returns the time in which streams end until the customer is under its share, or the pool
    /// under its limit.
    fn expected_relief(&self, used: f64) -> MilliDuration {
        let over_share = self.fair_share.map_or(1.0, |share| used / share);
        let excess = over_share.max(self.pressure / DEFER_AT).max(1.0);
        let millis = excess.ln() * self.stream_time.as_millis() as f64;
        let millis = millis.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        MilliDuration::from_millis(millis as u64)
    }
}
