//! Usage of a pool by customer.

use std::collections::HashMap;

use briarrail_model::{MilliDuration, StableHash};

const BASELINE_TIME_CONSTANT_S: f64 = 120.0;
/// Baseline below which an idle customer is removed, in requests in flight.
const MIN_BASELINE: f64 = 0.02;
/// Multiple of the baseline that does not count as a surge.
const SURGE_RATIO: f64 = 1.25;
/// Standard deviations of the in-flight count that do not count as a surge.
const SURGE_STD_DEVS: f64 = 2.0;

/// Usage of a pool by one customer.
#[derive(Debug, Clone, Copy, Default)]
struct CustomerCounts {
    in_flight: u32,
    /// Moving average of the requests in flight.
    baseline: f64,
}

/// Requests in flight from this router to one pool, by customer.
#[derive(Debug, Clone, Default)]
pub struct CustomerUsage {
    customers: HashMap<StableHash, CustomerCounts>,
    total: u32,
}

impl CustomerUsage {
    /// Counts a request that was admitted.
    pub fn start(&mut self, customer: StableHash) {
        self.customers.entry(customer).or_default().in_flight += 1;
        self.total += 1;
    }

    /// Counts a request that ended; ignores a customer without requests in flight.
    pub fn finish(&mut self, customer: StableHash) {
        let counts = self.customers.get_mut(&customer);
        if let Some(counts) = counts.filter(|counts| counts.in_flight > 0) {
            counts.in_flight -= 1;
            self.total -= 1;
        }
    }

    /// Updates the baseline of each customer over a time span without overload.
    ///
    /// Removes idle customers whose baseline has decayed.
    pub fn update_baselines(&mut self, span: MilliDuration) {
        let weight = 1.0 - (-span.as_secs_f64() / BASELINE_TIME_CONSTANT_S).exp();
        for counts in self.customers.values_mut() {
            counts.baseline += weight * (f64::from(counts.in_flight) - counts.baseline);
        }
        self.customers
            .retain(|_, counts| counts.in_flight > 0 || counts.baseline >= MIN_BASELINE);
    }

    /// Returns the number of a customer's requests in flight.
    #[must_use]
    pub fn in_flight(&self, customer: StableHash) -> u32 {
        self.customers
            .get(&customer)
            .map_or(0, |counts| counts.in_flight)
    }

    /// Returns whether one more request would put a customer significantly above its baseline.
    #[must_use]
    pub fn is_surging(&self, customer: StableHash) -> bool {
        let counts = self.customers.get(&customer).copied().unwrap_or_default();
        let spread = SURGE_STD_DEVS * counts.baseline.sqrt() + 1.0;
        f64::from(counts.in_flight) + 1.0 > SURGE_RATIO * counts.baseline + spread
    }

    /// Returns the number of all customers' requests in flight.
    #[must_use]
    pub const fn total(&self) -> u32 {
        self.total
    }

    /// Returns the number of tracked customers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.customers.len()
    }

    /// Returns whether no customer is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }

    /// Returns the max-min fair share of `budget`, in requests in flight.
    ///
    /// If each customer is limited to this share, all requests fit in `budget`. Returns `None` if
    /// they fit without a limit.
    #[must_use]
    pub fn fair_share(&self, budget: f64) -> Option<f64> {
        if f64::from(self.total) <= budget {
            return None;
        }
        let mut in_flight: Vec<_> = self
            .customers
            .values()
            .map(|counts| counts.in_flight)
            .collect();
        in_flight.sort_unstable();
        let mut remaining = budget.max(0.0);
        for (position, &count) in in_flight.iter().enumerate() {
            let share = remaining / (in_flight.len() - position) as f64;
            if f64::from(count) > share {
                return Some(share);
            }
            remaining -= f64::from(count);
        }
        None
    }
}
