//! Plans and reports of ticket load.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{CallOutcome, HeaderNames, RoundRobinUrls};

/// What ticket load to make.
#[derive(Debug, Clone)]
pub struct TicketPlan {
    /// Base URLs, taken in turn; calls end as unreachable when there is none.
    pub urls: RoundRobinUrls,
    /// Path to post to.
    pub path: String,
    /// Idempotency keys of the tickets to post.
    pub keys: Vec<String>,
    /// Calls in flight at once.
    pub calls: usize,
    /// Times that each call is sent, with the same key.
    pub attempts: u32,
    /// Customer that the calls name.
    pub customer: String,
    /// Names of the headers.
    pub headers: HeaderNames,
}

impl TicketPlan {
    /// Returns new keys that carry the time at which they were made.
    #[must_use]
    pub fn generate_keys(count: u64) -> Vec<String> {
        (0..count).map(|_| Uuid::now_v7().to_string()).collect()
    }
}

impl Default for TicketPlan {
    fn default() -> Self {
        Self {
            urls: RoundRobinUrls::default(),
            path: "/tickets".to_owned(),
            keys: Vec::new(),
            calls: 8,
            attempts: 1,
            customer: "customer-0".to_owned(),
            headers: HeaderNames::default(),
        }
    }
}

/// What came of a ticket load.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TicketReport {
    /// Outcomes of each key, in the order of its attempts.
    pub outcomes: BTreeMap<String, Vec<CallOutcome>>,
}

impl TicketReport {
    /// Returns how many attempts had each outcome.
    #[must_use]
    pub fn totals(&self) -> BTreeMap<CallOutcome, u64> {
        let mut totals = BTreeMap::new();
        for outcome in self.outcomes.values().flatten() {
            *totals.entry(*outcome).or_default() += 1;
        }
        totals
    }
}
