//! Admission of requests to a service that is asked for more than it can execute.
//!
//! Targets queue requests that exceed their slots. When the demand stays above the capacity, the queues
//! stay full: every call waits for the whole queue and is late, although the targets complete as many
//! calls as they can. A queue that is kept short leaves the throughput as it is, and the calls that
//! are sent are on time; the others are rejected at once, without a visit to full targets.
//!
//! Each router sees a sliver of the demand, and knows the load of the targets with a delay of many
//! service times. A limit on that load would make all routers stop and start together. The share of
//! calls to send therefore follows from rates, which change slowly, and the load only corrects it.

use briarrail_model::{MilliDuration, MilliTime, StableHash, hash_pair};

use crate::sliding_window::SlidingWindow;
use crate::{AdmissionPolicy, CompletionBasis, ServiceCapacity};

/// Length of the window over which the demand is counted; a few rounds of the exchange.
const DEMAND_WINDOW: MilliDuration = MilliDuration::from_millis(1_000);
/// Time constant of the mean load; longer than the delay after which the load responds.
const MEAN_LOAD_MEMORY: MilliDuration = MilliDuration::from_millis(2_000);
/// Maximum age of the demand of the other routers.
const MAX_PEER_DEMAND_AGE: MilliDuration = MilliDuration::from_millis(1_500);
const ADMISSION_SALT: StableHash = StableHash(0x6164_6d69_7400);

/// Share of a service's calls to send, and what it follows from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRatio {
    /// Share of the calls to send, from 0 to 1.
    pub ratio: f32,
    /// Calls of all routers per second.
    pub demand_per_s: f32,
    /// Calls per second that the targets can execute.
    pub capacity_per_s: f32,
}

impl AdmissionRatio {
    /// Everything is sent.
    pub const ALL: Self = Self {
        ratio: 1.0,
        demand_per_s: 0.0,
        capacity_per_s: f32::INFINITY,
    };

    /// Returns whether to send the call that `seed` identifies.
    #[must_use]
    pub fn admits(&self, seed: StableHash) -> bool {
        let fraction = (hash_pair(seed, ADMISSION_SALT).0 >> 40) as f32 / (1_u64 << 24) as f32;
        fraction < self.ratio
    }
}

/// Measures the demand for one service, and the load that it causes; the policy says how the load counts.
#[derive(Debug, Clone)]
pub struct AdmissionController {
    policy: AdmissionPolicy,
    /// Calls that this router received.
    arrivals: SlidingWindow<u32>,
    /// Calls that the other routers received in a window, and the time of that count.
    peer_arrivals: Option<(u32, MilliTime)>,
    /// Mean load per slot.
    mean_load: f32,
    measured_at: Option<MilliTime>,
}

impl Default for AdmissionController {
    fn default() -> Self {
        Self::new(AdmissionPolicy::PLAIN_CALLS)
    }
}

impl AdmissionController {
    /// Creates the controller of a service.
    #[must_use]
    pub const fn new(policy: AdmissionPolicy) -> Self {
        Self {
            policy,
            arrivals: SlidingWindow::new(DEMAND_WINDOW),
            peer_arrivals: None,
            mean_load: 0.0,
            measured_at: None,
        }
    }

    /// Returns which requests count for the throughput of the targets.
    #[must_use]
    pub const fn basis(&self) -> CompletionBasis {
        self.policy.basis
    }

    /// Counts a request of a caller.
    pub fn record_arrival(&mut self, now: MilliTime) {
        self.arrivals.add(1, now);
    }

    /// Returns the number of calls that this router received within the window.
    pub fn local_arrivals(&mut self, now: MilliTime) -> u32 {
        self.arrivals.sum(now)
    }

    /// Sets the number of calls that the other routers received within the window.
    pub const fn set_peer_arrivals(&mut self, arrivals: u32, as_of: MilliTime) {
        self.peer_arrivals = Some((arrivals, as_of));
    }

    /// Adds the load of the targets to its mean.
    pub fn record_load(&mut self, capacity: &ServiceCapacity, now: MilliTime) {
        let since = self.measured_at.replace(now);
        let span = since.map_or(MilliDuration::ZERO, |at| now.since(at));
        let memory_ms = MEAN_LOAD_MEMORY.as_millis() as f32;
        let kept = (-(span.as_millis() as f32) / memory_ms).exp();
        let load = capacity.load_per_slot();
        self.mean_load = (self.mean_load - load).mul_add(kept, load);
    }

    /// Returns the share of calls to send, given the targets and the service's latency objective.
    ///
    /// Everything is sent while nothing is known of the service time, and the demand of the other
    /// routers counts as zero while it is unknown.
    pub fn admission_ratio(
        &mut self,
        capacity: &ServiceCapacity,
        objective: MilliDuration,
        now: MilliTime,
    ) -> AdmissionRatio {
        let Some(service_time_ms) = capacity.service_time_ms else {
            return AdmissionRatio::ALL;
        };
        let is_fresh = |at: MilliTime| now.since(at) <= MAX_PEER_DEMAND_AGE;
        let peers = self.peer_arrivals.filter(|&(_, at)| is_fresh(at));
        let arrivals = self.arrivals.sum(now) + peers.map_or(0, |(count, _)| count);
        let demand_per_s = arrivals as f32 * 1_000.0 / DEMAND_WINDOW.as_millis() as f32;
        let capacity_per_s = capacity.requests_per_s;
        let correction = self.load_correction(capacity, objective, service_time_ms);
        let ratio = capacity_per_s * correction / demand_per_s.max(1.0);
        AdmissionRatio {
            ratio: ratio.min(1.0),
            demand_per_s,
            capacity_per_s,
        }
    }

    /// Returns the factor that brings the load at the targets towards the one at which calls spend
    /// the intended part of their objective there.
    fn load_correction(
        &self,
        capacity: &ServiceCapacity,
        objective: MilliDuration,
        service_time_ms: f32,
    ) -> f32 {
        let max_time_ms = objective.as_millis() as f32 * self.policy.target_time_ratio;
        let wanted = (max_time_ms / service_time_ms).max(self.policy.min_load_per_slot);
        let valid_ms = self.policy.load_validity_service_times * service_time_ms;
        let confidence = valid_ms / (valid_ms + capacity.load_age.as_millis() as f32);
        let least = 1.0 / capacity.slots.max(1.0);
        let current = wanted / capacity.load_per_slot().max(least);
        let mean = wanted / self.mean_load.max(least);
        current.powf(self.policy.load_exponent * confidence)
            * mean.powf(self.policy.mean_load_exponent)
    }
}
