//! Router of the simulation: entry router and bucket owner.

use std::collections::BTreeMap;

use briarrail_model::{CallSemantics, MilliDuration, MilliTime};
use briarrail_outcome::{
    ClaimBucket, ClaimClient, ClaimCoordinator, ClaimSettings, ReportQueue, RetryMachine,
    RetryPolicy,
};

use super::oracle::CallId;

pub(crate) const BUCKETS: u32 = 2;
const CLAIM_WAIT: MilliDuration = MilliDuration::from_millis(500);

/// Settings small enough to exercise segments, expiry and full buckets.
pub(crate) fn small_settings() -> ClaimSettings {
    ClaimSettings {
        buckets: BUCKETS,
        commit_interval_ms: MilliDuration::from_millis(40),
        report_delay_ms: MilliDuration::from_millis(100),
        retention_ms: MilliDuration::from_secs(30),
        clock_skew_ms: MilliDuration::from_secs(3),
        seal_bytes: 500,
        head_limit_bytes: 4_096,
        timeless_key_limit: 8,
        open_limit_ms: MilliDuration::from_secs(5),
        store_pause_ms: MilliDuration::from_millis(200),
        ..ClaimSettings::default()
    }
}

/// A call on its entry router.
pub(crate) struct EntryCall {
    pub(crate) client: ClaimClient,
    /// State of the attempts at targets, once the claim is granted.
    pub(crate) machine: Option<RetryMachine>,
}

/// Router of the simulation.
pub(crate) struct FakeRouter {
    pub(crate) incarnation: u64,
    pub(crate) is_paused: bool,
    /// Lead of the router's clock over simulated time, in milliseconds.
    pub(crate) clock_lead_ms: u64,
    pub(crate) coordinator: ClaimCoordinator,
    pub(crate) entries: BTreeMap<CallId, EntryCall>,
    pub(crate) reports: ReportQueue,
}

impl FakeRouter {
    pub(crate) fn new(incarnation: u64, clock_lead_ms: u64) -> Self {
        let mut router = Self {
            incarnation,
            is_paused: false,
            clock_lead_ms,
            coordinator: ClaimCoordinator::new(small_settings(), incarnation),
            entries: BTreeMap::new(),
            reports: ReportQueue::new(),
        };
        router.own_all_buckets();
        router
    }

    pub(crate) fn own_all_buckets(&mut self) {
        let all = (0..BUCKETS).map(ClaimBucket).collect();
        self.coordinator.set_candidate_buckets(all);
    }

    pub(crate) fn local_time(&self, now: MilliTime) -> MilliTime {
        now + MilliDuration::from_millis(self.clock_lead_ms)
    }
}

impl EntryCall {
    pub(crate) fn new(request: briarrail_peer::ClaimRequest, now: MilliTime) -> Self {
        Self {
            client: ClaimClient::new(request, now),
            machine: None,
        }
    }

    pub(crate) fn start_sending(&mut self, now: MilliTime) {
        let deadline = now + MilliDuration::from_secs(5);
        let policy = RetryPolicy::new(CallSemantics::AtMostOnce, deadline).with_max_attempts(3);
        let mut machine = RetryMachine::new(policy);
        machine.start(now);
        self.machine = Some(machine);
    }
}

pub(crate) const fn claim_wait() -> MilliDuration {
    CLAIM_WAIT
}
