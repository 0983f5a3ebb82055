//! Keeps the rate limit that a target names for all routers together.
//!
//! Each router sees only a part of the requests, in a large fleet far less than one a second of each
//! target, so fixed parts of the limit would either stay unused or add up to more than the limit.
//! Routers therefore exchange how many requests each of them would send to a limited target, and
//! all keep the same share of the prompts there. The shares follow from the demand, not from what was
//! sent, so they do not oscillate with the delay of the exchange.
//!
//! All routers keep the same prompts, so that the others move to other targets only once. If popular
//! prompts are among those that stay, only a share of the requests with them is sent.

use briarrail_model::{MilliDuration, MilliTime, StableHash, hash_pair};

use crate::sliding_window::SlidingWindow;
use crate::{FleetSize, LimitReport, LimitStatement, LimitedRequest};

/// Length of the window over which the demand for a target is counted; long enough that random
/// changes move few prompts.
const DEMAND_WINDOW: MilliDuration = MilliDuration::from_secs(2);
/// Length of the window over which the requests with prompts that stay are counted; a few rounds of
/// the exchange.
const KEPT_WINDOW: MilliDuration = MilliDuration::from_secs(1);
/// Length of the window over which the requests that were sent are counted.
const SENT_WINDOW: MilliDuration = MilliDuration::from_secs(3);
/// Minimum time over which requests are counted before the count is extrapolated to a window.
const MIN_COUNTED_TIME: MilliDuration = MilliDuration::from_millis(500);
/// Maximum age of the demand of the other routers.
const MAX_PEER_DEMAND_AGE: MilliDuration = MilliDuration::from_millis(1_500);
/// Part of a limit that is aimed for; the rest covers the variation of random arrivals.
const LIMIT_FRACTION: f32 = 0.9;
/// Multiple of that part above which requests with prompts that stay are held back too.
const MAX_KEPT_RATIO: f32 = 1.2;
/// Multiple of a limit above which nothing is sent, for a demand that changes faster than the shares.
const MAX_SENT_RATIO: f32 = 1.25;
/// Minimum rate at which requests are sent, in requests per second, so that the end of a limit is
/// noticed.
const MIN_RATE_PER_S: f32 = 0.5;
/// Time after which a limit ends that no answer repeated.
const LIMIT_MEMORY: MilliDuration = MilliDuration::from_secs(30);
/// Time for which the end of a limit is reported.
const LIFT_REPORT_TIME: MilliDuration = MilliDuration::from_secs(5);
const LIMIT_SALT: StableHash = StableHash(0x6c69_6d69_7400);

/// Limit of one target, and the demand for it.
#[derive(Debug, Clone)]
pub(crate) struct TargetLimiter {
    /// Time since which requests for the target are counted.
    listed_at: MilliTime,
    /// From the last answer to this router.
    statement: Option<LimitStatement>,
    /// The newest one of the other routers; kept while they are not heard from.
    peer_statement: Option<LimitStatement>,
    demand: SlidingWindow<u32>,
    kept: SlidingWindow<u32>,
    sent: SlidingWindow<u32>,
    /// From the other routers, with the time of receipt.
    peers: Option<(LimitReport, MilliTime)>,
}

impl TargetLimiter {
    /// Creates the limiter of a target that was listed at a time.
    pub(crate) const fn new(listed_at: MilliTime) -> Self {
        Self {
            listed_at,
            statement: None,
            peer_statement: None,
            demand: SlidingWindow::new(DEMAND_WINDOW),
            kept: SlidingWindow::new(KEPT_WINDOW),
            sent: SlidingWindow::new(SENT_WINDOW),
            peers: None,
        }
    }

    /// Creates the limiter of a target that is listed again, with its last limit, if one is known.
    pub(crate) fn restored(statement: Option<LimitStatement>, listed_at: MilliTime) -> Self {
        Self {
            statement,
            ..Self::new(listed_at)
        }
    }

    /// Returns the statement of a limit that is in effect.
    pub(crate) fn last_limit(&self, now: MilliTime) -> Option<LimitStatement> {
        let statement = newest([self.statement, self.peer_statement])?;
        self.limit(now).is_some().then_some(statement)
    }

    /// Returns the time of the last answer to this router.
    pub(crate) fn heard_at(&self) -> Option<MilliTime> {
        self.statement.map(|statement| statement.at)
    }

    /// Records what an answer said, and returns whether that is news.
    pub(crate) fn record_answer(&mut self, limit: Option<f32>, at: MilliTime) -> bool {
        let known = self.statement.and_then(|statement| statement.limit);
        self.statement = Some(LimitStatement { limit, at });
        known != limit
    }

    /// Sets what the other routers know.
    pub(crate) fn set_peers(&mut self, report: LimitReport, now: MilliTime) {
        self.peers = Some((report, now));
        let statements = [self.peer_statement, report.statement];
        self.peer_statement = newest(statements);
    }

    /// Returns the limit in effect, in requests per second.
    pub(crate) fn limit(&self, now: MilliTime) -> Option<f32> {
        let statement = newest([self.statement, self.peer_statement])?;
        let is_current = now.since(statement.at) <= LIMIT_MEMORY;
        statement.limit.filter(|_| is_current)
    }

    /// Counts a request that would be sent to the target, and returns whether to send it; the hashes
    /// of the request are different for each target.
    pub(crate) fn admit(
        &mut self,
        request: &LimitedRequest,
        fleet: &FleetSize,
        now: MilliTime,
    ) -> bool {
        self.demand.add(1, now);
        let is_admitted = match self.limit(now) {
            Some(limit) => self.is_within_limit(limit, request, fleet, now),
            None => true,
        };
        if is_admitted {
            self.sent.add(1, now);
        }
        is_admitted
    }

    fn is_within_limit(
        &mut self,
        limit: f32,
        request: &LimitedRequest,
        fleet: &FleetSize,
        now: MilliTime,
    ) -> bool {
        let rate_per_s = (LIMIT_FRACTION * limit).max(MIN_RATE_PER_S);
        let peers = self.fresh_peers(now);
        let demand = self.demand_estimate(now);
        let demand = fleet_sum(demand, peers.map(|report| report.demand), fleet);
        let kept_share = rate_per_s / per_second(demand, DEMAND_WINDOW);
        if unit_fraction(request.prompt) >= kept_share {
            return false;
        }
        self.kept.add(1, now);
        let kept = self.kept_estimate(now);
        let kept = fleet_sum(kept, peers.map(|report| report.kept), fleet);
        let sent_share = MAX_KEPT_RATIO * rate_per_s / per_second(kept, KEPT_WINDOW);
        if unit_fraction(request.seed) >= sent_share {
            return false;
        }
        // Without the exchange, each of the other routers may send such a request too.
        let sent = self.sent.sum(now) + 1;
        let sent = fleet_sum(sent, peers.map(|report| report.sent), fleet);
        per_second(sent, SENT_WINDOW) <= MAX_SENT_RATIO * limit.max(MIN_RATE_PER_S)
    }

    /// Returns what the other routers need to know, or `None` without a limit.
    pub(crate) fn report(&mut self, now: MilliTime) -> Option<LimitReport> {
        let is_lifted = |statement: &LimitStatement| {
            statement.limit.is_none() && now.since(statement.at) <= LIFT_REPORT_TIME
        };
        let was_limited = self
            .peer_statement
            .is_some_and(|statement| statement.limit.is_some());
        let is_reported = self.limit(now).is_some()
            || (was_limited && self.statement.as_ref().is_some_and(is_lifted));
        is_reported.then_some(LimitReport {
            statement: self.statement,
            demand: self.demand_estimate(now),
            kept: self.kept_estimate(now),
            sent: self.sent.sum(now),
        })
    }

    fn demand_estimate(&mut self, now: MilliTime) -> u32 {
        let sum = self.demand.sum(now);
        self.complete_sum(sum, DEMAND_WINDOW, now)
    }

    fn kept_estimate(&mut self, now: MilliTime) -> u32 {
        let sum = self.kept.sum(now);
        self.complete_sum(sum, KEPT_WINDOW, now)
    }

    /// Extrapolates the sum over a window that began before requests were counted, so that a router
    /// that has just started does not understate its demand.
    fn complete_sum(&self, sum: u32, window: MilliDuration, now: MilliTime) -> u32 {
        let counted = now.since(self.listed_at).max(MIN_COUNTED_TIME);
        let factor = window.as_secs_f64() / counted.min(window).as_secs_f64();
        (f64::from(sum) * factor) as u32
    }

    fn fresh_peers(&self, now: MilliTime) -> Option<LimitReport> {
        let (report, at) = self.peers?;
        (now.since(at) <= MAX_PEER_DEMAND_AGE).then_some(report)
    }
}

fn newest(statements: [Option<LimitStatement>; 2]) -> Option<LimitStatement> {
    let known = statements.into_iter().flatten();
    known.max_by_key(|statement| statement.at)
}

/// Returns the sum over all routers; those whose counts are unknown are assumed to have as many as
/// the mean of the others.
fn fleet_sum(own: u32, peers: Option<u32>, fleet: &FleetSize) -> f32 {
    match peers {
        Some(peers) => (own + peers) as f32 * fleet.uncounted_factor(),
        None => own as f32 * fleet.routers() as f32,
    }
}

fn per_second(count: f32, window: MilliDuration) -> f32 {
    count / window.as_secs_f64() as f32
}

/// Returns a number from 0 to 1 that follows from a hash.
fn unit_fraction(hash: StableHash) -> f32 {
    (hash_pair(hash, LIMIT_SALT).0 >> 40) as f32 / (1_u64 << 24) as f32
}
