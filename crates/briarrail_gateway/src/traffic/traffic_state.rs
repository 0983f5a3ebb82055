//! State of the traffic thread, and what it shares with the control thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};

use arc_swap::{ArcSwap, ArcSwapOption};
use briarrail_dispatch::{
    AdaptiveTimeout, OutcomeTotals, PlacementLimits, RetryBudget, RetryBudgetLimits, RosterChange,
    RoutingTable, SendOutcome, TargetKey, TargetRegistry, TargetState,
};
use briarrail_model::{MilliDuration, MilliTime};
use briarrail_peer::TargetCount;
use briarrail_settings::FleetTerms;
use tokio::sync::oneshot;

use super::link_pool::LinkPool;
use super::request_context::RequestContext;
use crate::ProcessClock;
use crate::telemetry::GatewayMetrics;

/// Requests added to the multiple of the mean load, the same for every fleet.
const LOAD_SLACK: f32 = 3.0;

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub(crate) enum StopPhase {
    /// The router serves.
    Serving,
    /// The router serves what still comes, and asks callers to connect elsewhere.
    Leaving,
    /// The router takes no more requests and finishes those in flight.
    Draining,
}

/// What both threads read.
#[derive(Debug)]
pub(crate) struct SharedState {
    /// The configuration in force; none before the first.
    pub(crate) routing_table: ArcSwapOption<RoutingTable>,
    /// Terms of the fleet, from the settings.
    pub(crate) terms: ArcSwap<FleetTerms>,
    /// Live routers, this one included.
    pub(crate) live_routers: AtomicUsize,
    /// Requests in flight.
    pub(crate) in_flight: AtomicUsize,
    stop: AtomicU8,
}

impl SharedState {
    pub(crate) fn new(terms: FleetTerms) -> Self {
        Self {
            routing_table: ArcSwapOption::empty(),
            terms: ArcSwap::from_pointee(terms),
            live_routers: AtomicUsize::new(1),
            in_flight: AtomicUsize::new(0),
            stop: AtomicU8::new(StopPhase::Serving as u8),
        }
    }

    pub(crate) fn stop_phase(&self) -> StopPhase {
        match self.stop.load(Ordering::Relaxed) {
            0 => StopPhase::Serving,
            1 => StopPhase::Leaving,
            _ => StopPhase::Draining,
        }
    }

    pub(crate) fn set_stop_phase(&self, phase: StopPhase) {
        self.stop.store(phase as u8, Ordering::Relaxed);
    }
}

/// What the control thread tells the traffic thread.
#[derive(Debug)]
pub(crate) enum ControlUpdate {
    /// The roster of targets changed.
    Roster(Vec<RosterChange>),
    /// Requests of the other routers, as of now.
    PeerCounts(Vec<TargetCount>),
    /// The control thread asks for this router's own requests.
    LocalCounts(oneshot::Sender<Vec<TargetCount>>),
}

/// State of the traffic thread.
#[derive(Debug)]
pub(crate) struct TrafficState<D> {
    pub(crate) dialect: D,
    pub(crate) clock: ProcessClock,
    pub(crate) shared: Arc<SharedState>,
    pub(crate) metrics: Arc<GatewayMetrics>,
    pub(crate) board: RefCell<TargetRegistry>,
    pub(crate) links: RefCell<LinkPool>,
    pub(crate) open_callers: Cell<usize>,
    budgets: RefCell<HashMap<String, RetryBudget>>,
    /// Usual times to the first bytes, by route.
    patience: RefCell<HashMap<String, AdaptiveTimeout>>,
}

impl<D> TrafficState<D> {
    pub(crate) fn new(
        dialect: D,
        clock: ProcessClock,
        shared: Arc<SharedState>,
        metrics: Arc<GatewayMetrics>,
    ) -> Self {
        Self {
            dialect,
            clock,
            shared,
            metrics,
            board: RefCell::default(),
            links: RefCell::default(),
            open_callers: Cell::new(0),
            budgets: RefCell::default(),
            patience: RefCell::default(),
        }
    }

    /// Returns the limits of placement.
    pub(crate) fn placement_terms(&self) -> PlacementLimits {
        PlacementLimits {
            max_load_ratio: self.shared.terms.load().load_ratio as f32,
            max_load_slack: LOAD_SLACK,
        }
    }

    /// Returns how long a silent target is waited for.
    pub(crate) fn patience(&self, context: &RequestContext) -> MilliDuration {
        let known = self.patience.borrow().get(&context.route).copied();
        let has_prompt = context.caller.prompt.total_tokens() > 0;
        known
            .unwrap_or_default()
            .timeout(context.objective, has_prompt)
    }

    /// Takes the time to the first bytes of an answer of a route.
    pub(crate) fn record_answer_time(&self, route: &str, took: MilliDuration) {
        let mut patience = self.patience.borrow_mut();
        if !patience.contains_key(route) {
            patience.insert(route.to_owned(), AdaptiveTimeout::default());
        }
        if let Some(known) = patience.get_mut(route) {
            known.record_response_time(took);
        }
    }

    /// Counts a first send to a service.
    pub(crate) fn record_first_send(&self, service: &str) {
        let terms = self.budget_terms();
        let mut budgets = self.budgets.borrow_mut();
        if !budgets.contains_key(service) {
            budgets.insert(service.to_owned(), RetryBudget::default());
        }
        if let Some(budget) = budgets.get_mut(service) {
            budget.record_request(self.clock.now(), &terms);
        }
    }

    /// Takes a repeat to a service out of this router's part of the budget.
    pub(crate) fn take_repeat(&self, service: &str) -> bool {
        let terms = self.budget_terms();
        let routers = self.shared.live_routers.load(Ordering::Relaxed);
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned()).or_default();
        budget.try_take_retry(self.clock.now(), &terms, routers)
    }

    /// Records how a send ended, and logs the ejection that it may cause.
    pub(crate) fn record_outcome(&self, key: TargetKey, outcome: SendOutcome) {
        let now = self.clock.now();
        let mut board = self.board.borrow_mut();
        let was_ejected = board
            .get(key)
            .is_some_and(|t| t.outlier_detector.ejected_until().is_some());
        let is_ejected = board.record_outcome(key, outcome, now);
        let Some(target) = board.get(key) else {
            return;
        };
        if is_ejected {
            self.note_ejection(key, target, outcome_text(outcome), now);
        } else if was_ejected && target.outlier_detector.ejected_until().is_none() {
            tracing::info!(
                event = "target_restored",
                target_id = target.record.id,
                service = target.record.service,
            );
        }
    }

    fn note_ejection(
        &self,
        key: TargetKey,
        target: &TargetState,
        cause: &'static str,
        now: MilliTime,
    ) {
        self.links.borrow_mut().forget(key);
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

    /// Takes what the control thread tells.
    pub(crate) fn apply(&self, update: ControlUpdate) {
        match update {
            ControlUpdate::Roster(changes) => {
                changes.into_iter().for_each(|c| self.apply_roster(c));
            }
            ControlUpdate::PeerCounts(counts) => self.apply_counts(&counts, self.clock.now()),
            ControlUpdate::LocalCounts(reply) => {
                if reply.send(self.own_counts()).is_err() {
                    tracing::debug!("the control thread no longer waits for counts");
                }
            }
        }
    }

    fn apply_roster(&self, change: RosterChange) {
        match change {
            RosterChange::Upserted(row) => {
                let key = self.board.borrow_mut().upsert(row, self.clock.now());
                // A draining target's connections close as they fall idle.
                let board = self.board.borrow();
                if board.get(key).is_none_or(|target| !target.is_available()) {
                    self.links.borrow_mut().forget(key);
                }
            }
            RosterChange::Removed(id) => {
                let key = self.board.borrow().key_by_id(&id);
                if let Some(key) = key {
                    self.links.borrow_mut().forget(key);
                    self.board.borrow_mut().mark_removed(&id, self.clock.now());
                }
            }
            RosterChange::Retained(..) => {}
        }
    }

    fn apply_counts(&self, counts: &[TargetCount], now: MilliTime) {
        let by_target: HashMap<u32, &TargetCount> =
            counts.iter().map(|count| (count.target, count)).collect();
        let mut board = self.board.borrow_mut();
        board.purge_removed(now);
        let keys: Vec<(TargetKey, u32)> = board
            .iter()
            .map(|(key, target)| (key, target.hash.0 as u32))
            .collect();
        for (key, hash) in keys {
            let told = by_target.get(&hash).copied().copied().unwrap_or_default();
            let outcomes = OutcomeTotals {
                good: told.good,
                failed: told.failed,
            };
            board.set_peer_stats(key, told.requests as f32, outcomes, now);
        }
        for (key, units) in board.eject_outliers(now) {
            if let Some(target) = board.get(key) {
                self.note_ejection(key, target, "outlier of all routers", now);
                tracing::debug!(good = units.good, failed = units.failed);
            }
        }
    }

    fn own_counts(&self) -> Vec<TargetCount> {
        let now = self.clock.now();
        let mut board = self.board.borrow_mut();
        let keys: Vec<TargetKey> = board.iter().map(|(key, _)| key).collect();
        let counts = keys.into_iter().filter_map(|key| {
            let outcomes = board.local_outcomes(key, now);
            let target = board.get(key)?;
            Some(TargetCount {
                target: target.hash.0 as u32,
                requests: target.local_requests(),
                good: outcomes.good,
                failed: outcomes.failed,
            })
        });
        let is_told = |count: &TargetCount| count.requests + count.good + count.failed > 0;
        counts.filter(is_told).collect()
    }

    fn budget_terms(&self) -> RetryBudgetLimits {
        let terms = self.shared.terms.load();
        RetryBudgetLimits {
            ratio: terms.retry_ratio,
            window: terms.retry_window,
            slack: terms.retry_slack,
        }
    }
}

const fn outcome_text(outcome: SendOutcome) -> &'static str {
    match outcome {
        SendOutcome::Good => "good",
        SendOutcome::Unreachable => "unreachable",
        SendOutcome::Broken => "broken",
        SendOutcome::Slow => "slow",
        SendOutcome::Failed => "failed",
        SendOutcome::Refused => "refused",
    }
}
