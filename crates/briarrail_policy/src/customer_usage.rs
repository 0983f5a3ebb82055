//! Use of a pool by customer.

use std::collections::HashMap;

use briarrail_model::{MilliDuration, StableHash};

const USUAL_MEMORY_S: f64 = 120.0;
/// Usual use below which an idle customer is forgotten, in requests in flight.
const MIN_USUAL: f64 = 0.02;
const SURGE_RATIO: f64 = 1.25;
/// Deviations of a count above its usual value that do not count as a surge.
const SURGE_DEVIATIONS: f64 = 2.0;

/// Use of one customer.
#[derive(Debug, Clone, Copy, Default)]
struct CustomerUse {
    in_flight: u32,
    usual: f64,
}

/// Requests in flight from this router to one pool, by customer.
#[derive(Debug, Clone, Default)]
pub struct CustomerUsage {
    uses: HashMap<StableHash, CustomerUse>,
    total: u32,
}

impl CustomerUsage {
    /// Counts a request that was admitted.
    pub fn start(&mut self, customer: StableHash) {
        self.uses.entry(customer).or_default().in_flight += 1;
        self.total += 1;
    }

    /// Counts a request that ended; one that was never counted is ignored.
    pub fn finish(&mut self, customer: StableHash) {
        let used = self.uses.get_mut(&customer);
        if let Some(used) = used.filter(|used| used.in_flight > 0) {
            used.in_flight -= 1;
            self.total -= 1;
        }
    }

    /// Learns the usual use of each customer over a span without overload.
    pub fn update_baselines(&mut self, span: MilliDuration) {
        let weight = 1.0 - (-span.as_secs_f64() / USUAL_MEMORY_S).exp();
        for used in self.uses.values_mut() {
            used.usual += weight * (f64::from(used.in_flight) - used.usual);
        }
        self.uses
            .retain(|_, used| used.in_flight > 0 || used.usual >= MIN_USUAL);
    }

    /// Returns the requests of a customer in flight.
    #[must_use]
    pub fn in_flight(&self, customer: StableHash) -> u32 {
        self.uses.get(&customer).map_or(0, |used| used.in_flight)
    }

    /// Returns whether one more request lifts a customer clearly above its usual use.
    #[must_use]
    pub fn is_surging(&self, customer: StableHash) -> bool {
        let used = self.uses.get(&customer).copied().unwrap_or_default();
        let spread = SURGE_DEVIATIONS * used.usual.sqrt() + 1.0;
        f64::from(used.in_flight) + 1.0 > SURGE_RATIO * used.usual + spread
    }

    /// Returns the requests of all customers in flight.
    #[must_use]
    pub const fn total(&self) -> u32 {
        self.total
    }

    /// Returns the number of customers held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.uses.len()
    }

    /// Returns whether no customer is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.uses.is_empty()
    }

    /// Returns the max-min fair share: the cap on each customer under which all fit in `budget`.
    ///
    /// Returns none when all fit without a cap.
    #[must_use]
    pub fn fair_share(&self, budget: f64) -> Option<f64> {
        if f64::from(self.total) <= budget {
            return None;
        }
        let mut counts: Vec<_> = self.uses.values().map(|used| used.in_flight).collect();
        counts.sort_unstable();
        let mut left = budget.max(0.0);
        for (position, &count) in counts.iter().enumerate() {
            let share = left / (counts.len() - position) as f64;
            if f64::from(count) > share {
                return Some(share);
            }
            left -= f64::from(count);
        }
        None
    }
}
