//! Use of a pool by customer.

use std::collections::HashMap;

use briarrail_model::StableHash;

/// Requests in flight from this router to one pool, by customer.
///
/// Only customers with a request in flight are held.
#[derive(Debug, Clone, Default)]
pub struct CustomerShares {
    in_flight: HashMap<StableHash, u32>,
    total: u32,
}

impl CustomerShares {
    /// Counts a request that was admitted.
    pub fn start(&mut self, customer: StableHash) {
        *self.in_flight.entry(customer).or_default() += 1;
        self.total += 1;
    }

    /// Counts a request that ended; one that was never counted is ignored.
    pub fn finish(&mut self, customer: StableHash) {
        let Some(count) = self.in_flight.get_mut(&customer) else {
            return;
        };
        *count -= 1;
        self.total -= 1;
        if *count == 0 {
            self.in_flight.remove(&customer);
        }
    }

    /// Returns the requests of a customer in flight.
    #[must_use]
    pub fn in_flight(&self, customer: StableHash) -> u32 {
        self.in_flight.get(&customer).copied().unwrap_or_default()
    }

    /// Returns the requests of all customers in flight.
    #[must_use]
    pub const fn total(&self) -> u32 {
        self.total
    }

    /// Returns the max-min fair share: the cap on each customer under which all fit in `budget`.
    ///
    /// Returns none when all fit without a cap.
    #[must_use]
    pub fn fair_share(&self, budget: f64) -> Option<f64> {
        if f64::from(self.total) <= budget {
            return None;
        }
        let mut counts: Vec<_> = self.in_flight.values().copied().collect();
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
