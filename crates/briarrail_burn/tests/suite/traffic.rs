//! Random requests for the tests.

use briarrail_burn::{OutcomeClass, RequestRecord, StreamCounts};
use briarrail_model::MilliTime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const START_MS: u64 = 1_800_000_000_000;

/// A request and the time at which it finished.
#[derive(Debug, Clone)]
pub(crate) struct TimedRequest {
    pub(crate) at: MilliTime,
    pub(crate) pool: &'static str,
    pub(crate) customer: String,
    pub(crate) class: OutcomeClass,
    pub(crate) late: bool,
}

impl TimedRequest {
    pub(crate) fn record(&self) -> RequestRecord<'_> {
        let is_model = self.pool == "pan-model";
        RequestRecord {
            pool: self.pool,
            customer: &self.customer,
            class: self.class,
            at_most_once: !is_model,
            stream: StreamCounts {
                first_token_late: Some(self.late),
                gaps: if is_model { 100 } else { 0 },
                late_gaps: if is_model && self.late { 20 } else { 0 },
            },
        }
    }
}

/// Generates requests over some hours, ordered by time. Failures occur only in the last hour.
pub(crate) fn generate_requests(seed: u64, hours: u64, customers: u32) -> Vec<TimedRequest> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let end_ms = START_MS + hours * 3_600_000;
    let mut requests = Vec::new();
    for minute in 0..hours * 60 {
        for _ in 0..5 {
            let at_ms = START_MS + minute * 60_000 + rng.random_range(0..60_000);
            let is_recent = end_ms - at_ms < 3_600_000;
            let draw = rng.random_range(0..1_000);
            let class = match draw {
                0..100 if is_recent => OutcomeClass::NotRun,
                100..104 if is_recent => OutcomeClass::Unknown,
                104..120 => OutcomeClass::CallerError,
                _ => OutcomeClass::Answered,
            };
            requests.push(TimedRequest {
                at: MilliTime::from_millis(at_ms),
                pool: ["pan-model", "weighbridge"][usize::from(rng.random_ratio(1, 3))],
                customer: format!("customer-{}", rng.random_range(0..customers)),
                class,
                late: rng.random_ratio(1, 30),
            });
        }
    }
    requests.sort_by_key(|request| request.at);
    requests
}
