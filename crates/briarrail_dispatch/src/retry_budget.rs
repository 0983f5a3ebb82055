//! Fleet-wide retry budget.
//!
//! When targets fail while all routers are busy, each retry adds load. The sum over all routers
//! must stay below a fraction of the requests in a sliding window plus a fixed slack.

use std::collections::VecDeque;

use briarrail_model::{MilliDuration, MilliTime};

/// Fraction of its share of the budget that a router spends, so that differing counts of live
/// routers and requests at the window boundary do not exceed the fleet's total.
const LOCAL_SPEND_RATIO: f64 = 0.7;
/// Time span of one bucket, a twentieth of the usual window of 10 s.
const BUCKET_WIDTH: MilliDuration = MilliDuration::from_millis(500);

/// Limits of the retry budget, from the settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetLimits {
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: MilliDuration,
    /// Retries allowed per window in addition to the ratio, for the whole fleet.
    pub slack: f64,
}

#[derive(Debug, Clone, Copy)]
struct BucketCounts {
    start: MilliTime,
    requests: u32,
    retries: u32,
}

/// This router's share of the retry budget of one service.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    buckets: VecDeque<BucketCounts>,
}

impl RetryBudget {
    /// Counts the first attempt of a request.
    pub fn record_request(&mut self, now: MilliTime, limits: &RetryBudgetLimits) {
        self.current_bucket(now, limits).requests += 1;
    }

    /// Takes one retry from the budget, or returns `false` if this router's share is spent.
    ///
    /// `routers` is the number of live routers that share the slack.
    pub fn try_take_retry(
        &mut self,
        now: MilliTime,
        limits: &RetryBudgetLimits,
        routers: usize,
    ) -> bool {
        self.current_bucket(now, limits);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let slack = limits.slack / routers.max(1) as f64;
        let allowed = LOCAL_SPEND_RATIO * limits.ratio.mul_add(f64::from(requests), slack);
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.current_bucket(now, limits).retries += 1;
        true
    }

    fn current_bucket(&mut self, now: MilliTime, limits: &RetryBudgetLimits) -> &mut BucketCounts {
        let oldest = now - limits.window;
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.start < oldest)
        {
            self.buckets.pop_front();
        }
        let is_current =
            |bucket: &BucketCounts| now.since(bucket.start).as_millis() < BUCKET_WIDTH.as_millis();
        if !self.buckets.back().is_some_and(is_current) {
            self.buckets.push_back(BucketCounts {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
