//! State of the traffic thread, and the state that it shares with the control thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};

use arc_swap::{ArcSwap, ArcSwapOption};
use briarrail_dispatch::{
    AdaptiveTimeout, AdmissionRatio, CrashQuarantine, FleetSize, LimitReport, LimitStatement,
    LimitedRequest, OutcomeTotals, PlacementLimits, RetryBudget, RetryBudgetLimits, RoutingTable,
    SendDenial, SendOutcome, SuspectChange, SuspectKind, TargetKey, TargetRegistry, TargetState,
};
use briarrail_model::{MilliDuration, MilliTime};
use briarrail_peer::{TargetCount, TargetLimit};
use briarrail_settings::FleetLimits;
use bytes::Bytes;
use tokio::sync::mpsc::UnboundedSender;

use super::body_discard::BodyDiscards;
use super::caller_memory::CallerMemory;
use super::cold_bounds::ColdSources;
use super::connection_pool::ConnectionPool;
use super::control_update::{ControlUpdate, LocalReport};
use super::crash_check::{CrashChecks, LostRequest};
use super::request_context::RequestContext;
use super::request_traits::RequestTraits;
use super::service_admissions::ServiceAdmissions;
use super::stream_origin::OriginCall;
use super::target_connections::TargetConnections;
use crate::ProcessClock;
use crate::fleet_counts::FleetCounts;
use crate::telemetry::GatewayMetrics;

/// Number of requests added to the multiple of the mean load; the same for all fleet sizes.
const MAX_LOAD_SLACK: f32 = 3.0;

/// Phase of a planned stop, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub(crate) enum StopPhase {
    /// No stop was requested.
    Serving,
    /// The router still serves requests, but closes each caller connection after its response so
    /// that callers connect to another router.
    Leaving,
    /// The router rejects new requests and completes those in flight.
    Draining,
    /// The grace period is over; requests without an answer get one from the router.
    Ending,
}

/// State that both threads read.
#[derive(Debug)]
pub(crate) struct SharedState {
    /// The current configuration; empty until the first one is loaded.
    pub(crate) routing_table: ArcSwapOption<RoutingTable>,
    /// Limits that apply to the whole fleet, from the settings.
    pub(crate) terms: ArcSwap<FleetLimits>,
    /// Number of live routers, including this one.
    pub(crate) live_routers: AtomicUsize,
    /// Number of requests in flight.
    pub(crate) in_flight: AtomicUsize,
    /// Number of callers' connections with a request in progress or a response that is being written.
    pub(crate) busy_connections: AtomicUsize,
    /// Number of turns of the traffic thread, which grows while the thread makes progress.
    pub(crate) traffic_turns: AtomicU64,
    /// Whether the traffic thread has made no progress for a while.
    pub(crate) is_traffic_stalled: AtomicBool,
    /// Identifier of the last request that was received.
    pub(crate) last_request: ArcSwapOption<Bytes>,
    stop: AtomicU8,
}

impl SharedState {
    pub(crate) fn new(terms: FleetLimits) -> Self {
        Self {
            routing_table: ArcSwapOption::empty(),
            terms: ArcSwap::from_pointee(terms),
            live_routers: AtomicUsize::new(1),
            in_flight: AtomicUsize::new(0),
            busy_connections: AtomicUsize::new(0),
            traffic_turns: AtomicU64::new(0),
            is_traffic_stalled: AtomicBool::new(false),
            last_request: ArcSwapOption::empty(),
            stop: AtomicU8::new(StopPhase::Serving as u8),
        }
    }

    pub(crate) fn stop_phase(&self) -> StopPhase {
        match self.stop.load(Ordering::Relaxed) {
            0 => StopPhase::Serving,
            1 => StopPhase::Leaving,
            2 => StopPhase::Draining,
            _ => StopPhase::Ending,
        }
    }

    pub(crate) fn set_stop_phase(&self, phase: StopPhase) {
        self.stop.store(phase as u8, Ordering::Relaxed);
    }
}

/// State of the traffic thread.
#[derive(Debug)]
pub(crate) struct TrafficState<D> {
    pub(crate) dialect: D,
    pub(crate) clock: ProcessClock,
    pub(crate) shared: Arc<SharedState>,
    pub(crate) metrics: Arc<GatewayMetrics>,
    pub(crate) registry: RefCell<TargetRegistry>,
    pub(crate) idle_connections: RefCell<ConnectionPool>,
    pub(crate) memory: Arc<CallerMemory>,
    pub(super) body_discards: BodyDiscards,
    pub(super) target_connections: TargetConnections,
    /// Retry budgets by service.
    retry_budgets: RefCell<HashMap<String, RetryBudget>>,
    admissions: RefCell<ServiceAdmissions>,
    /// Timeouts for the first response bytes, by route.
    timeouts: RefCell<HashMap<String, AdaptiveTimeout>>,
    pub(super) fleet_size: Cell<FleetSize>,
    /// Configuration and limits to which the registry's bounds for cold targets belong.
    pub(super) cold_sources: RefCell<ColdSources>,
    /// Prompt parts that are not sent to targets.
    quarantine: RefCell<CrashQuarantine>,
    /// Checks of targets that are in progress.
    pub(super) crash_checks: RefCell<CrashChecks>,
    /// Time as of which the targets are known as the store lists them.
    pub(super) view_observed_at: Cell<MilliTime>,
    /// Messages to the control thread about streams.
    origin_calls: UnboundedSender<OriginCall>,
}

impl<D> TrafficState<D> {
    pub(crate) fn new(
        dialect: D,
        clock: ProcessClock,
        shared: Arc<SharedState>,
        metrics: Arc<GatewayMetrics>,
        memory: Arc<CallerMemory>,
        target_connections: TargetConnections,
        origin_calls: UnboundedSender<OriginCall>,
    ) -> Self {
        Self {
            dialect,
            clock,
            shared,
            metrics,
            registry: RefCell::default(),
            idle_connections: RefCell::default(),
            memory,
            body_discards: BodyDiscards::default(),
            target_connections,
            retry_budgets: RefCell::default(),
            admissions: RefCell::default(),
            timeouts: RefCell::default(),
            fleet_size: Cell::default(),
            cold_sources: RefCell::default(),
            quarantine: RefCell::default(),
            crash_checks: RefCell::default(),
            view_observed_at: Cell::default(),
            origin_calls,
        }
    }

    /// Returns the load limits for placement.
    pub(crate) fn placement_limits(&self) -> PlacementLimits {
        PlacementLimits {
            max_load_ratio: self.shared.terms.load().load_ratio as f32,
            max_load_slack: MAX_LOAD_SLACK,
        }
    }

    /// Returns how long to wait for the first response bytes before retrying at another target.
    pub(crate) fn response_timeout(&self, context: &RequestContext) -> MilliDuration {
        let timeout = self.timeouts.borrow().get(&context.route).copied();
        let has_prompt = context.caller.prompt.total_tokens() > 0;
        timeout
            .unwrap_or_default()
            .timeout(context.objective, has_prompt)
    }

    /// Records the time to the first response bytes of a request of a route.
    pub(crate) fn record_response_time(&self, route: &str, elapsed: MilliDuration) {
        let mut timeouts = self.timeouts.borrow_mut();
        if !timeouts.contains_key(route) {
            timeouts.insert(route.to_owned(), AdaptiveTimeout::default());
        }
        if let Some(timeout) = timeouts.get_mut(route) {
            timeout.record_response_time(elapsed);
        }
    }

    /// Counts the first attempt of a request to a service.
    pub(crate) fn record_request(&self, service: &str) {
        let limits = self.retry_budget_limits();
        let mut budgets = self.retry_budgets.borrow_mut();
        if !budgets.contains_key(service) {
            budgets.insert(service.to_owned(), RetryBudget::default());
        }
        if let Some(budget) = budgets.get_mut(service) {
            budget.record_request(self.clock.now(), &limits);
        }
    }

    /// Counts a request of a caller, and returns the share of the service's requests to send.
    pub(crate) fn admission_ratio(&self, context: &RequestContext) -> AdmissionRatio {
        let registry = self.registry.borrow();
        let mut admissions = self.admissions.borrow_mut();
        admissions.record_arrival(context, &registry, self.clock.now())
    }

    /// Counts a request that was placed at a target, and decides whether the target gets it by the
    /// reasons that depend on such counts.
    pub(crate) fn admits(
        &self,
        key: TargetKey,
        context: &RequestContext,
    ) -> Result<(), SendDenial> {
        let seed = context.seed();
        let affinity_key = context.caller.prompt.affinity_key();
        let request = LimitedRequest {
            prompt: affinity_key
                .filter(|_| context.caches_prompts)
                .unwrap_or(seed),
            seed,
        };
        let fleet_size = self.fleet_size.get();
        let mut registry = self.registry.borrow_mut();
        registry.admit(key, &request, &fleet_size, self.clock.now())
    }

    fn record_fleet_size(&self, now: MilliTime) {
        let mut fleet_size = self.fleet_size.get();
        fleet_size.record(self.shared.live_routers.load(Ordering::Relaxed), now);
        self.fleet_size.set(fleet_size);
    }

    /// Takes one retry from this router's share of the service's retry budget, or returns `false`
    /// if the share is spent.
    pub(crate) fn try_take_retry(&self, service: &str) -> bool {
        let limits = self.retry_budget_limits();
        let routers = self.shared.live_routers.load(Ordering::Relaxed);
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned()).or_default();
        budget.try_take_retry(self.clock.now(), &limits, routers)
    }

    /// Sends a message about a stream to the control thread.
    pub(crate) fn send_origin_call(&self, call: OriginCall) {
        if self.origin_calls.send(call).is_err() {
            tracing::debug!("the control thread has exited");
        }
    }

    /// Records the rate limit that a target named in a response, or that it named none.
    pub(crate) fn record_rate_limit(&self, key: TargetKey, limit: Option<f32>) {
        let mut registry = self.registry.borrow_mut();
        if !registry.record_rate_limit(key, limit, self.clock.now()) {
            return;
        }
        if let Some(target) = registry.get(key) {
            tracing::info!(
                event = "target_limited",
                target_id = target.record.id,
                service = target.record.service,
                requests_per_s = limit,
            );
        }
    }

    /// Returns the time until which requests with some traits are not sent, if they crash targets.
    pub(crate) fn blocked_until(&self, traits: &RequestTraits) -> Option<MilliTime> {
        let quarantine = self.quarantine.borrow();
        quarantine.blocked_until(traits.suspects(), self.clock.now())
    }

    /// Records that the answer to a request with some traits began.
    pub(crate) fn record_begin(&self, traits: &RequestTraits) {
        let now = self.clock.now();
        let changes = self
            .quarantine
            .borrow_mut()
            .record_begin(traits.suspects(), now);
        self.log_suspect_changes(&changes, "local", now);
    }

    /// Records that a target crashed while requests waited there for their answers to begin.
    pub(super) fn record_crash(
        &self,
        key: TargetKey,
        lost_requests: &[LostRequest],
        crashed_at: MilliTime,
    ) {
        let now = self.clock.now();
        let hash = self.registry.borrow().get(key).map(|target| target.hash);
        let Some(hash) = hash else {
            return;
        };
        let suspects = lost_requests.iter().flat_map(LostRequest::suspects);
        let mut quarantine = self.quarantine.borrow_mut();
        let changes = quarantine.record_crash(hash.0 as u32, suspects, crashed_at, now);
        self.log_suspect_changes(&changes, "local", now);
    }

    fn log_suspect_changes(&self, changes: &[SuspectChange], source: &'static str, now: MilliTime) {
        for change in changes {
            let suspect = change.suspect();
            let kind = suspect_kind_name(suspect.kind);
            let hash = format!("{:016x}", suspect.hash.0);
            match change {
                SuspectChange::Blocked(_, until) => {
                    self.metrics.count_suspect_change(kind, "blocked");
                    let for_ms = until.since(now).as_millis();
                    tracing::warn!(event = "suspect_blocked", source, kind, hash, for_ms);
                }
                SuspectChange::Released(_) => {
                    self.metrics.count_suspect_change(kind, "released");
                    tracing::info!(event = "suspect_released", source, kind, hash);
                }
            }
        }
    }

    /// Records the outcome of a request to a target, and logs an ejection or restoration that
    /// results from it.
    pub(crate) fn record_outcome(&self, key: TargetKey, outcome: SendOutcome) {
        let now = self.clock.now();
        let mut registry = self.registry.borrow_mut();
        let was_ejected = registry
            .get(key)
            .is_some_and(|target| target.outlier_detector.ejected_until().is_some());
        let is_ejected = registry.record_outcome(key, outcome, now);
        let Some(target) = registry.get(key) else {
            return;
        };
        if is_ejected {
            self.handle_ejection(key, target, outcome_name(outcome), now);
        } else if was_ejected && target.outlier_detector.ejected_until().is_none() {
            tracing::info!(
                event = "target_restored",
                target_id = target.record.id,
                service = target.record.service,
            );
        }
    }

    /// Closes the idle connections to an ejected target, and counts and logs the ejection.
    fn handle_ejection(
        &self,
        key: TargetKey,
        target: &TargetState,
        cause: &'static str,
        now: MilliTime,
    ) {
        self.idle_connections.borrow_mut().remove_target(key);
        self.metrics.count_ejection(&target.record.service);
        tracing::info!(
            event = "target_ejected",
            target_id = target.record.id,
            service = target.record.service,
            cause,
            failure_ratio = target.outlier_detector.failure_ratio(),
            for_ms = target
                .outlier_detector
                .ejected_until()
                .map(|until| until.since(now).as_millis()),
        );
    }

    /// Applies an update from the control thread.
    pub(crate) fn apply(&self, update: ControlUpdate) {
        match update {
            ControlUpdate::Roster(changes) => self.apply_roster_changes(changes),
            ControlUpdate::View(observed_at) => self.record_view(observed_at),
            ControlUpdate::Evacuations(data_centres) => self.apply_evacuations(&data_centres),
            ControlUpdate::PeerCounts(counts) => self.apply_peer_counts(&counts, self.clock.now()),
            ControlUpdate::Routers(list) => self.apply_router_list(&list),
            ControlUpdate::SuspectReports(reports, source) => {
                let now = self.clock.now();
                let changes = self.quarantine.borrow_mut().merge(&reports, now);
                self.log_suspect_changes(&changes, source, now);
            }
            ControlUpdate::LocalReport(reply) => {
                let report = LocalReport {
                    counts: self.local_counts(),
                    suspect_reports: self.quarantine.borrow().reports(self.clock.now()),
                };
                if reply.send(report).is_err() {
                    tracing::debug!("control thread dropped the request for the local report");
                }
            }
        }
    }

    fn apply_peer_counts(&self, counts: &FleetCounts, now: MilliTime) {
        let counts_by_target = counts.targets.iter().map(|count| (count.target, count));
        let by_target: HashMap<u32, &TargetCount> = counts_by_target.collect();
        let limits = counts.limits.iter().map(|limit| (limit.target, limit));
        let limits: HashMap<u32, &TargetLimit> = limits.collect();
        self.record_fleet_size(now);
        self.review_standings(counts, now);
        let mut registry = self.registry.borrow_mut();
        registry.purge_removed(now);
        drop(registry);
        self.log_notice_events();
        let mut registry = self.registry.borrow_mut();
        let keys: Vec<(TargetKey, u32)> = registry
            .iter()
            .map(|(key, target)| (key, target.hash.0 as u32))
            .collect();
        for (key, hash) in keys {
            let count = by_target.get(&hash).copied().copied().unwrap_or_default();
            let outcomes = OutcomeTotals {
                good: count.good,
                failed: count.failed,
            };
            registry.set_peer_stats(key, count.requests as f32, outcomes, now);
            let report = limits.get(&hash).map(|limit| decode_limit(limit, now));
            registry.set_peer_limit(key, report.unwrap_or_default(), now);
        }
        for (key, totals) in registry.eject_outliers(now) {
            if let Some(target) = registry.get(key) {
                self.handle_ejection(key, target, "outlier by the outcomes of all routers", now);
                tracing::debug!(good = totals.good, failed = totals.failed);
            }
        }
        let mut admissions = self.admissions.borrow_mut();
        admissions.update(&registry, &counts.demands, now);
    }

    fn local_counts(&self) -> FleetCounts {
        let now = self.clock.now();
        let mut registry = self.registry.borrow_mut();
        let keys: Vec<TargetKey> = registry.iter().map(|(key, _)| key).collect();
        let limits = keys.iter().filter_map(|&key| {
            let report = registry.limit_report(key, now)?;
            let target = registry.get(key)?.hash.0 as u32;
            Some(encode_limit(target, &report, now))
        });
        let limits = limits.collect();
        let counts = keys.into_iter().filter_map(|key| {
            let outcomes = registry.local_outcomes(key, now);
            let target = registry.get(key)?;
            Some(TargetCount {
                target: target.hash.0 as u32,
                requests: target.local_requests(),
                good: outcomes.good,
                failed: outcomes.failed,
            })
        });
        let is_nonzero = |count: &TargetCount| count.requests + count.good + count.failed > 0;
        FleetCounts {
            targets: counts.filter(is_nonzero).collect(),
            demands: self.admissions.borrow_mut().demands(now),
            limits,
            leaving: registry.leaving_runs(),
            pauses: registry.pause_reports(now),
        }
    }

    fn retry_budget_limits(&self) -> RetryBudgetLimits {
        let terms = self.shared.terms.load();
        RetryBudgetLimits {
            ratio: terms.retry_ratio,
            window: terms.retry_window,
            slack: terms.retry_slack,
        }
    }
}

fn decode_limit(limit: &TargetLimit, now: MilliTime) -> LimitReport {
    let statement = limit.age_ms.map(|age_ms| LimitStatement {
        limit: limit.limit.map(|millis| millis as f32 / 1_000.0),
        at: now - MilliDuration::from_millis(u64::from(age_ms)),
    });
    LimitReport {
        statement,
        demand: limit.demand,
        kept: limit.kept,
        sent: limit.sent,
    }
}

fn encode_limit(target: u32, report: &LimitReport, now: MilliTime) -> TargetLimit {
    let statement = report.statement;
    let limit = statement.and_then(|statement| statement.limit);
    TargetLimit {
        target,
        limit: limit.map(|per_s| (per_s * 1_000.0) as u32),
        age_ms: statement.map(|statement| now.since(statement.at).as_millis() as u32),
        demand: report.demand,
        kept: report.kept,
        sent: report.sent,
    }
}

const fn outcome_name(outcome: SendOutcome) -> &'static str {
    match outcome {
        SendOutcome::Good => "good",
        SendOutcome::Unreachable => "unreachable",
        SendOutcome::Broken => "broken",
        SendOutcome::Slow => "slow",
        SendOutcome::Failed => "failed",
        SendOutcome::Refused => "refused",
    }
}

/// Returns the name of a kind of suspect in logs and metrics.
pub(crate) const fn suspect_kind_name(kind: SuspectKind) -> &'static str {
    match kind {
        SuspectKind::PromptPart => "part",
        SuspectKind::Request => "request",
    }
}
