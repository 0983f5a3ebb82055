//! Parameters and report of ticket load.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{CallOutcome, HeaderNames, RoundRobinUrls};

/// Parameters of ticket load.
#[derive(Debug, Clone)]
pub struct TicketPlan {
    /// Base URLs, used in round-robin order; calls are unreachable when the list is empty.
    pub urls: RoundRobinUrls,
    /// Path of the POST requests.
    pub path: String,
    /// Idempotency keys of the tickets to post.
    pub keys: Vec<String>,
    /// Maximum number of concurrent calls.
    pub calls: usize,
    /// Number of times that each call is sent with the same key.
    pub attempts: u32,
    /// Customer name in the calls.
    pub customer: String,
    /// Names of the request headers.
    pub headers: HeaderNames,
}

impl TicketPlan {
    /// Generates unique keys (UUIDv7) that contain their creation time.
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

/// Results of a ticket load.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TicketReport {
    /// Outcomes by key, in the order of the attempts.
    pub outcomes: BTreeMap<String, Vec<CallOutcome>>,
}

impl TicketReport {
    /// Returns the number of attempts by outcome.
    #[must_use]
    pub fn totals(&self) -> BTreeMap<CallOutcome, u64> {
        let mut totals = BTreeMap::new();
        for outcome in self.outcomes.values().flatten() {
            *totals.entry(*outcome).or_default() += 1;
        }
        totals
    }
}
