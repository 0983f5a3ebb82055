//! State of each target as known to this router.

use std::collections::{BTreeSet, HashMap};

use briarrail_model::{DataCentre, MilliDuration, MilliTime, StableHash, hash_bytes, hash_pair};
use slotmap::{SlotMap, new_key_type};

use crate::cold_limiter::ColdLimiter;
use crate::cold_policy::ColdPolicy;
use crate::notice_memory::NoticeMemory;
use crate::service_index::ServiceIndex;
use crate::service_time_meter::{ServiceTimeMeter, SlotUse};
use crate::target_limiter::TargetLimiter;
use crate::{
    ColdSource, FleetSize, LimitReport, LimitedRequest, NoticeEvent, OutcomeTotals, OutcomeWindow,
    OutlierDetector, ReleaseKey, SendDenial, SendNeed, SendOutcome, StandingChange, TargetLifetime,
    TargetPlace, TargetRecord, TargetStanding,
};

new_key_type! {
    /// Identifies a target within one [`TargetRegistry`].
    pub struct TargetKey;
}

/// Maximum age of peer counts; older ones do not reflect the current load.
const MAX_PEER_COUNT_AGE: MilliDuration = MilliDuration::from_millis(1_500);
/// Time after which a listed target counts as warmed up; a popular prompt is requested once within
/// it.
const WARM_UP_TIME: MilliDuration = MilliDuration::from_millis(1_500);
/// Maximum age of a load that a target reported with a response.
const MAX_REPORTED_LOAD_AGE: MilliDuration = MilliDuration::from_millis(400);

/// Load that a target reported with a response.
#[derive(Debug, Clone, Copy)]
struct ReportedLoad {
    running: u32,
    waiting: u32,
    reported_at: MilliTime,
    local_requests_at_report: u32,
}

/// State of one target.
#[derive(Debug, Clone)]
pub struct TargetState {
    /// The target's store record.
    pub record: TargetRecord,
    /// Hash of the target identifier, for the rendezvous order.
    pub hash: StableHash,
    /// Lifetime of the target.
    pub lifetime: TargetLifetime,
    /// Software release of the target.
    pub release: ReleaseKey,
    /// Ejection state.
    pub outlier_detector: OutlierDetector,
    /// This router's requests in flight at the target.
    local_requests: u32,
    /// Requests of the other routers at the target, and the time of that count.
    peer_requests: Option<(f32, MilliTime)>,
    reported_load: Option<ReportedLoad>,
    /// Rate limit that the target names for all routers together.
    pub(crate) limiter: TargetLimiter,
    /// Outcomes of this router's requests.
    local_outcomes: OutcomeWindow,
    peer_outcomes: OutcomeTotals,
    /// Service time over the requests of all routers.
    service_time: ServiceTimeMeter,
    /// Time at which the target, or a new run of it, was first listed.
    listed_at: MilliTime,
    /// What the store, the target itself and the operators say of it.
    pub(crate) standing: TargetStanding,
    /// Bound on the requests while the target is cold.
    pub(crate) cold_limiter: ColdLimiter,
    /// Time at which the target last refused a connection, if the view of the targets is not newer: the
    /// process may have ended since.
    refused_at: Option<MilliTime>,
}

impl TargetState {
    /// Returns the number of this router's requests in flight at the target.
    #[must_use]
    pub const fn local_requests(&self) -> u32 {
        self.local_requests
    }

    /// Returns the estimated number of requests at the target.
    #[must_use]
    pub fn expected_load(&self, now: MilliTime) -> f32 {
        let is_fresh = |at: MilliTime| now.since(at) <= MAX_PEER_COUNT_AGE;
        let peer_requests = self.peer_requests.filter(|&(_, at)| is_fresh(at));
        let counted = self.local_requests as f32 + peer_requests.map_or(0.0, |(count, _)| count);
        let reported_load = self
            .reported_load
            .filter(|load| now.since(load.reported_at) <= MAX_REPORTED_LOAD_AGE);
        let Some(reported_load) = reported_load else {
            return counted;
        };
        let change_since_report =
            self.local_requests as f32 - reported_load.local_requests_at_report as f32;
        let reported_total =
            (reported_load.running + reported_load.waiting) as f32 + change_since_report;
        counted.max(reported_total)
    }

    /// Returns why the target may not get a request, apart from the reasons that depend on a count
    /// of requests.
    ///
    /// [`TargetRegistry::admit`] decides on those.
    #[must_use]
    pub fn denial(&self, need: &SendNeed<'_>, now: MilliTime) -> Option<SendDenial> {
        let is_outside = need
            .homes
            .is_some_and(|homes| !homes.contains(&self.record.data_centre));
        let is_other = need.release.is_some_and(|release| release != self.release);
        let seed = need.seed.map(|seed| hash_pair(seed, self.hash));
        match self.standing.denial(seed, now) {
            Some(denial) if !denial.passes_soon() => Some(denial),
            _ if is_outside => Some(SendDenial::OutsideHomes),
            _ if is_other => Some(SendDenial::OtherRelease),
            _ if need.is_resumable && self.refused_at.is_some() => {
                Some(SendDenial::UncertainRelease)
            }
            denial => denial,
        }
    }

    /// Returns whether the target may get requests of some kind, apart from ejection.
    #[must_use]
    pub fn is_available(&self, now: MilliTime) -> bool {
        self.denial(&SendNeed::ANY, now).is_none()
    }

    /// Returns what the store, the target itself and the operators say of the target.
    #[must_use]
    pub const fn standing(&self) -> &TargetStanding {
        &self.standing
    }

    /// Returns whether the target can serve its cached context to other targets.
    ///
    /// Fetching from a target that is down delays the request by the fetch timeout of the fetching
    /// target.
    #[must_use]
    pub fn can_serve_context(&self, now: MilliTime) -> bool {
        self.standing.is_up(now)
            && (self.outlier_detector.ejected_until().is_none()
                || self.outlier_detector.responded_recently(now))
    }

    /// Returns whether the target has been listed long enough to have prompts in its cache.
    #[must_use]
    pub fn is_warmed_up(&self, now: MilliTime) -> bool {
        now.since(self.listed_at) >= WARM_UP_TIME
    }

    /// Returns the busy time of the target's slots, and the requests completed in it.
    pub(crate) const fn slot_use(&self) -> SlotUse {
        self.service_time.slot_use()
    }

    /// Returns the rate limit that the target names for all routers together, in requests per
    /// second.
    #[must_use]
    pub fn rate_limit(&self, now: MilliTime) -> Option<f32> {
        self.limiter.limit(now)
    }

    /// Counts the target as cold from the end of its ejection, since it may have restarted.
    ///
    /// The ejections of many routers end at about the same time, and their trials reach the target
    /// before its entry says that it is cold.
    fn expect_cold_return(&mut self) {
        if let Some(until) = self.outlier_detector.ejected_until() {
            self.cold_limiter.record_start(ColdSource::Outage, until);
        }
    }

    /// Returns the age of the peer counts, if known.
    #[must_use]
    pub fn peer_count_age(&self, now: MilliTime) -> Option<MilliDuration> {
        self.peer_requests.map(|(_, at)| now.since(at))
    }
}

/// All targets, indexed by key, identifier and service.
#[derive(Debug, Default)]
pub struct TargetRegistry {
    pub(crate) targets: SlotMap<TargetKey, TargetState>,
    by_id: HashMap<String, TargetKey>,
    by_service: ServiceIndex,
    /// Data centres that the operators have evacuated.
    evacuated: BTreeSet<DataCentre>,
    /// Bounds on the requests to cold targets.
    pub(crate) cold_policy: ColdPolicy,
    pub(crate) notice_memory: NoticeMemory,
    /// What became of the notices of targets since the log was last written.
    pub(crate) notice_events: Vec<NoticeEvent>,
}

impl TargetRegistry {
    /// Adds a target or updates its record, without the time at which its run started.
    pub fn upsert(&mut self, record: TargetRecord, now: MilliTime) -> TargetKey {
        self.upsert_started(record, None, now)
    }

    /// Adds a target or updates its record; a restart, or a change of its service, resets its state.
    ///
    /// `started_at` is the time at which the run of the record started, by the clock of this router. What
    /// was heard from the target since then holds for that run, also if it was not listed yet.
    pub fn upsert_started(
        &mut self,
        record: TargetRecord,
        started_at: Option<MilliTime>,
        now: MilliTime,
    ) -> TargetKey {
        let is_known_fleet = self.cold_policy.record_listing(now);
        let lifetime = TargetLifetime::from(&record);
        if let Some(&key) = self.by_id.get(&record.id) {
            let is_evacuated = self.evacuated.contains(&record.data_centre);
            self.move_target(key, &record, now);
            self.list_run(key, record.started_unix_ms, started_at, now);
            let state = &mut self.targets[key];
            if state.record.service != record.service {
                self.by_service.remove(&state.record.service, key);
                self.by_service.add(&record.service, key);
            }
            let is_back = state.standing.denial(None, now) == Some(SendDenial::Gone);
            if is_back || state.lifetime != lifetime {
                state.cold_limiter.record_start(ColdSource::Start, now);
            }
            if state.lifetime != lifetime {
                state.outlier_detector = OutlierDetector::default();
                state.reported_load = None;
                state.peer_requests = None;
                state.local_outcomes.clear();
                state.peer_outcomes = OutcomeTotals::default();
                state.service_time = ServiceTimeMeter::default();
                state.listed_at = now;
                state.refused_at = None;
                state.standing.clear_return();
                state.lifetime = lifetime;
            }
            let cold_limiter = &mut state.cold_limiter;
            cold_limiter.record_cold(record.cold_left, ColdSource::Entry, now);
            state.release = ReleaseKey::new(&record.service, &record.version);
            state.standing.record_listed(record.phase);
            state.standing.set_evacuated(is_evacuated, now);
            state.record = record;
            return key;
        }
        let (id, service) = (record.id.clone(), record.service.clone());
        let place = TargetPlace::from(&record);
        let started_unix_ms = record.started_unix_ms;
        let known = self.take_back(place, now);
        let is_same_run = known.runs.latest_start() >= started_unix_ms;
        let mut standing = TargetStanding::new(place, known.runs);
        standing.record_listed(record.phase);
        standing.set_evacuated(self.evacuated.contains(&record.data_centre), now);
        let mut cold_limiter = ColdLimiter::listed(record.cold_left, is_known_fleet, now);
        if let Some(until) = known.cold_until.filter(|_| is_same_run) {
            cold_limiter.record_cold(until.since(now), ColdSource::Answer, now);
        }
        let key = self.targets.insert(TargetState {
            hash: hash_bytes(id.as_bytes()),
            lifetime,
            release: ReleaseKey::new(&record.service, &record.version),
            record,
            outlier_detector: OutlierDetector::default(),
            local_requests: 0,
            peer_requests: None,
            reported_load: None,
            limiter: TargetLimiter::restored(known.limit, now),
            local_outcomes: OutcomeWindow::default(),
            peer_outcomes: OutcomeTotals::default(),
            service_time: ServiceTimeMeter::default(),
            listed_at: now,
            standing,
            cold_limiter,
            refused_at: None,
        });
        self.by_id.insert(id, key);
        self.by_service.add(&service, key);
        self.list_run(key, started_unix_ms, started_at, now);
        key
    }

    /// Marks a target as removed; its state is kept until [`Self::purge_removed`] drops it.
    pub fn mark_removed(&mut self, id: &str, now: MilliTime) {
        if let Some(&key) = self.by_id.get(id) {
            self.targets[key].standing.record_removed(now);
        }
    }

    /// Drops targets whose retention time is over and that have no requests of this router in
    /// flight.
    pub fn purge_removed(&mut self, now: MilliTime) {
        let is_purgeable = |state: &TargetState| {
            state.local_requests == 0 && state.standing.is_past_retention(now)
        };
        let purgeable = self.targets.iter().filter(|(_, state)| is_purgeable(state));
        let keys: Vec<TargetKey> = purgeable.map(|(key, _)| key).collect();
        for key in keys {
            self.purge(key, now);
        }
    }

    /// Sets the data centres that the operators have evacuated, for the targets that are listed and
    /// for those that will be.
    ///
    /// Targets of a data centre that is taken back may be cold before their entries say so.
    pub fn set_evacuated(&mut self, data_centres: &BTreeSet<DataCentre>, now: MilliTime) {
        let before = std::mem::replace(&mut self.evacuated, data_centres.clone());
        for state in self.targets.values_mut() {
            let data_centre = &state.record.data_centre;
            let is_evacuated = data_centres.contains(data_centre);
            state.standing.set_evacuated(is_evacuated, now);
            if before.contains(data_centre) && !is_evacuated {
                state.cold_limiter.record_start(ColdSource::Return, now);
            }
        }
    }

    /// Records that a target refused a connection. A process that starts again at its address, under its
    /// identifier, may be of another release.
    pub fn record_refused(&mut self, key: TargetKey, now: MilliTime) {
        if let Some(state) = self.targets.get_mut(key) {
            state.refused_at = Some(now);
        }
    }

    /// Records that the view of the targets reflects the store as of a time: what is listed at another
    /// address, release or start by then is known.
    pub fn record_view(&mut self, observed_at: MilliTime) {
        for state in self.targets.values_mut() {
            state.refused_at = state.refused_at.filter(|at| *at >= observed_at);
        }
    }

    /// Returns the change of a target's standing since this was last called for it, if there is one.
    pub fn take_standing_change(
        &mut self,
        key: TargetKey,
        now: MilliTime,
    ) -> Option<StandingChange> {
        self.targets.get_mut(key)?.standing.take_change(now)
    }

    /// Returns why a target may not get a request, apart from the reasons that depend on a count of
    /// requests.
    #[must_use]
    pub fn denial(
        &self,
        key: TargetKey,
        need: &SendNeed<'_>,
        now: MilliTime,
    ) -> Option<SendDenial> {
        let state = self.targets.get(key);
        state.map_or(Some(SendDenial::Gone), |state| state.denial(need, now))
    }

    /// Returns the key of the target with the identifier.
    #[must_use]
    pub fn key_by_id(&self, id: &str) -> Option<TargetKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the state of a target.
    #[must_use]
    pub fn get(&self, key: TargetKey) -> Option<&TargetState> {
        self.targets.get(key)
    }

    /// Returns the mutable state of a target.
    pub fn get_mut(&mut self, key: TargetKey) -> Option<&mut TargetState> {
        self.targets.get_mut(key)
    }

    /// Returns the targets of a service.
    pub fn service_targets(
        &self,
        service: &str,
    ) -> impl Iterator<Item = (TargetKey, &TargetState)> {
        let keys = self.by_service.targets(service);
        keys.iter().map(|&key| (key, &self.targets[key]))
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &TargetState)> {
        self.targets.iter()
    }

    /// Counts a request as in flight at a target.
    pub fn start_request(&mut self, key: TargetKey, now: MilliTime) {
        if let Some(state) = self.targets.get_mut(key) {
            state.local_requests += 1;
            state.outlier_detector.record_send(now);
        }
    }

    /// Counts a request at a target as finished.
    pub fn finish_request(&mut self, key: TargetKey) {
        if let Some(state) = self.targets.get_mut(key) {
            state.local_requests = state.local_requests.saturating_sub(1);
        }
    }

    /// Sets the number of requests that the other routers have at a target, and their outcomes.
    pub fn set_peer_stats(
        &mut self,
        key: TargetKey,
        count: f32,
        outcomes: OutcomeTotals,
        as_of: MilliTime,
    ) {
        if let Some(state) = self.targets.get_mut(key) {
            state.peer_requests = Some((count, as_of));
            state.peer_outcomes = outcomes;
            let outcomes = state.local_outcomes.sum(as_of).plus(outcomes);
            let busy_slots = state.expected_load(as_of).min(state.record.slots as f32);
            state.service_time.measure(busy_slots, outcomes, as_of);
        }
    }

    /// Records the outcome of a request and returns whether it ejected the target.
    pub fn record_outcome(&mut self, key: TargetKey, outcome: SendOutcome, now: MilliTime) -> bool {
        let Some(state) = self.targets.get_mut(key) else {
            return false;
        };
        state.local_outcomes.record_outcome(outcome, now);
        let was_ejected = state.outlier_detector.ejected_until().is_some();
        let is_ejected = state.outlier_detector.record_outcome(outcome, now);
        if was_ejected && state.outlier_detector.ejected_until().is_none() {
            state.local_outcomes.clear();
        }
        let may_be_down = matches!(outcome, SendOutcome::Unreachable | SendOutcome::Broken);
        if is_ejected && may_be_down && !self.has_common_failure(key) {
            let state = self.targets.get_mut(key);
            state.into_iter().for_each(TargetState::expect_cold_return);
        }
        is_ejected
    }

    /// Returns whether most targets of a target's service are ejected, so that the cause is on this
    /// router's side rather than a restart of each.
    fn has_common_failure(&self, key: TargetKey) -> bool {
        let Some(state) = self.targets.get(key) else {
            return false;
        };
        let targets = self.service_targets(&state.record.service);
        let (mut ejected, mut all) = (0, 0);
        for (_, state) in targets {
            all += 1;
            ejected += usize::from(state.outlier_detector.ejected_until().is_some());
        }
        2 * ejected > all && all > 1
    }

    /// Returns the recent outcomes of this router's requests to a target.
    pub fn local_outcomes(&mut self, key: TargetKey, now: MilliTime) -> OutcomeTotals {
        let state = self.targets.get_mut(key);
        state.map_or_else(OutcomeTotals::default, |state| {
            state.local_outcomes.sum(now)
        })
    }

    /// Ejects the targets whose outcomes over all routers are outliers within their service, and
    /// returns them.
    ///
    /// If all targets of a service fail alike, none is ejected.
    pub fn eject_outliers(&mut self, now: MilliTime) -> Vec<(TargetKey, OutcomeTotals)> {
        let keys: Vec<TargetKey> = self.targets.keys().collect();
        let mut by_service: HashMap<String, OutcomeTotals> = HashMap::new();
        let mut by_target = Vec::with_capacity(keys.len());
        for key in keys {
            let state = &mut self.targets[key];
            let totals = state.local_outcomes.sum(now).plus(state.peer_outcomes);
            if state.is_available(now) {
                let sum = by_service.entry(state.record.service.clone()).or_default();
                *sum = sum.plus(totals);
                by_target.push((key, totals));
            }
        }
        by_target.retain(|&(key, totals)| {
            let state = &mut self.targets[key];
            let all = by_service[&state.record.service];
            let others = OutcomeTotals {
                good: all.good - totals.good,
                failed: all.failed - totals.failed,
            };
            totals.is_outlier(others) && state.outlier_detector.eject_as_outlier(now)
        });
        by_target
    }

    /// Records the rate limit of a response, or that it named none, and returns whether that differs
    /// from the last response.
    pub fn record_rate_limit(
        &mut self,
        key: TargetKey,
        limit: Option<f32>,
        now: MilliTime,
    ) -> bool {
        let state = self.targets.get_mut(key);
        state.is_some_and(|state| state.limiter.record_answer(limit, now))
    }

    /// Sets what the other routers know of a target's rate limit, and their demand for it.
    pub fn set_peer_limit(&mut self, key: TargetKey, report: LimitReport, now: MilliTime) {
        if let Some(state) = self.targets.get_mut(key) {
            state.limiter.set_peers(report, now);
        }
    }

    /// Returns what the other routers need to know of a target's rate limit.
    pub fn limit_report(&mut self, key: TargetKey, now: MilliTime) -> Option<LimitReport> {
        let state = self.targets.get_mut(key)?;
        state.limiter.report(now)
    }

    /// Counts a request that was placed at a target, and decides whether the target gets it by the
    /// reasons that depend on such counts.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the target may not get the request now.
    pub fn admit(
        &mut self,
        key: TargetKey,
        request: &LimitedRequest,
        fleet: &FleetSize,
        now: MilliTime,
    ) -> Result<(), SendDenial> {
        let Some(state) = self.targets.get(key) else {
            return Err(SendDenial::Gone);
        };
        let terms = self.cold_terms(&state.record.service);
        if terms.is_some_and(|terms| self.cold_wait(state, terms, now).is_some()) {
            return Err(SendDenial::Cold);
        }
        let Some(state) = self.targets.get_mut(key) else {
            return Err(SendDenial::Gone);
        };
        let request = LimitedRequest {
            prompt: hash_pair(request.prompt, state.hash),
            seed: hash_pair(request.seed, state.hash),
        };
        if !state.limiter.admit(&request, fleet, now) {
            return Err(SendDenial::RateLimited);
        }
        self.record_cold_send(key, now);
        Ok(())
    }

    /// Records a load that a target reported with a response.
    pub fn record_reported_load(
        &mut self,
        key: TargetKey,
        running: u32,
        waiting: u32,
        now: MilliTime,
    ) {
        if let Some(state) = self.targets.get_mut(key) {
            state.reported_load = Some(ReportedLoad {
                running,
                waiting,
                reported_at: now,
                local_requests_at_report: state.local_requests,
            });
        }
    }

    fn purge(&mut self, key: TargetKey, now: MilliTime) {
        let Some(state) = self.targets.remove(key) else {
            return;
        };
        self.remember_target(&state, now);
        self.by_id.remove(&state.record.id);
        self.by_service.remove(&state.record.service, key);
    }
}
