//! What this router believes of each target.

use std::collections::HashMap;

use briarrail_model::{MilliDuration, MilliTime, StableHash, hash_bytes};
use slotmap::{SlotMap, new_key_type};

use crate::{
    OutcomeTotals, OutcomeWindow, OutlierDetector, SendOutcome, TargetPhase, TargetRecord,
};

new_key_type! {
    /// Names a target of one [`TargetRegistry`].
    pub struct TargetKey;
}

/// Longest age of the other routers' counts; older ones say nothing of the present load.
const MAX_PEER_COUNT_AGE: MilliDuration = MilliDuration::from_millis(1_500);
/// Time for which a target that left without draining still serves; the shortest drain of a site.
const REMOVED_RETENTION: MilliDuration = MilliDuration::from_millis(1_500);
/// Time from which a listed target has taken over prompts; a popular one is asked for once in it.
const WARM_UP_TIME: MilliDuration = MilliDuration::from_millis(1_500);
/// Longest age of a load that a target told with an answer.
const MAX_REPORTED_LOAD_AGE: MilliDuration = MilliDuration::from_millis(400);

/// A load that a target told with an answer.
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
    /// What the store lists.
    pub record: TargetRecord,
    /// Hash of the identity, for rendezvous order.
    pub hash: StableHash,
    /// Ejection.
    pub outlier_detector: OutlierDetector,
    /// Requests of this router that the target works on.
    local_requests: u32,
    /// Requests of the other routers, and when that was known.
    peer_requests: Option<(f32, MilliTime)>,
    reported_load: Option<ReportedLoad>,
    /// Outcomes of this router's sends, and of the other routers'.
    local_outcomes: OutcomeWindow,
    peer_outcomes: OutcomeTotals,
    /// When the target, or a new run of it, was first listed.
    listed_at: MilliTime,
    /// When the target went off the list.
    removed_at: Option<MilliTime>,
}

impl TargetState {
    /// Returns the requests of this router that the target works on.
    #[must_use]
    pub const fn local_requests(&self) -> u32 {
        self.local_requests
    }

    /// Returns the requests that the target is expected to hold now.
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

    /// Returns whether new requests may go to the target at all.
    #[must_use]
    pub fn is_available(&self) -> bool {
        self.removed_at.is_none() && self.record.phase == TargetPhase::Ready
    }

    /// Returns whether the target can hand out the context that it keeps.
    ///
    /// One that drained before it left is down; one that left at once goes on for a while. A
    /// target that is down would delay the request by a time limit of the fetching target.
    #[must_use]
    pub fn can_serve_context(&self, now: MilliTime) -> bool {
        let is_up = self.removed_at.is_none_or(|at| {
            self.record.phase == TargetPhase::Ready && now.since(at) <= REMOVED_RETENTION
        });
        is_up
            && (self.outlier_detector.ejected_until().is_none()
                || self.outlier_detector.responded_recently(now))
    }

    /// Returns whether the target was listed long enough to keep prompts.
    #[must_use]
    pub fn is_warmed_up(&self, now: MilliTime) -> bool {
        now.since(self.listed_at) >= WARM_UP_TIME
    }

    /// Returns the age of the other routers' counts, if they are known.
    #[must_use]
    pub fn peer_count_age(&self, now: MilliTime) -> Option<MilliDuration> {
        self.peer_requests.map(|(_, at)| now.since(at))
    }
}

/// All targets, by key and by service.
#[derive(Debug, Default)]
pub struct TargetRegistry {
    targets: SlotMap<TargetKey, TargetState>,
    by_id: HashMap<String, TargetKey>,
    by_service: HashMap<String, Vec<TargetKey>>,
}

impl TargetRegistry {
    /// Adds a target or takes its new row.
    pub fn upsert(&mut self, record: TargetRecord, now: MilliTime) -> TargetKey {
        if let Some(&key) = self.by_id.get(&record.id) {
            let state = &mut self.targets[key];
            let restarted = state.record.started_unix_ms != record.started_unix_ms
                || state.record.address != record.address;
            if restarted {
                state.outlier_detector = OutlierDetector::default();
                state.reported_load = None;
                state.peer_requests = None;
                state.local_outcomes.clear();
                state.peer_outcomes = OutcomeTotals::default();
                state.listed_at = now;
            }
            state.record = record;
            state.removed_at = None;
            return key;
        }
        let (id, service) = (record.id.clone(), record.service.clone());
        let key = self.targets.insert(TargetState {
            hash: hash_bytes(id.as_bytes()),
            record,
            outlier_detector: OutlierDetector::default(),
            local_requests: 0,
            peer_requests: None,
            reported_load: None,
            local_outcomes: OutcomeWindow::default(),
            peer_outcomes: OutcomeTotals::default(),
            listed_at: now,
            removed_at: None,
        });
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
        key
    }

    /// Takes a target off the list; its state goes some time after its last request.
    pub fn mark_removed(&mut self, id: &str, now: MilliTime) {
        if let Some(&key) = self.by_id.get(id) {
            self.targets[key].removed_at = Some(now);
        }
    }

    /// Forgets targets that are long gone and have no requests of this router.
    pub fn purge_removed(&mut self, now: MilliTime) {
        let is_purgeable = |state: &TargetState| {
            let is_past_retention = |at: MilliTime| now.since(at) > REMOVED_RETENTION;
            state.local_requests == 0 && state.removed_at.is_some_and(is_past_retention)
        };
        let purgeable = self.targets.iter().filter(|(_, state)| is_purgeable(state));
        let keys: Vec<TargetKey> = purgeable.map(|(key, _)| key).collect();
        for key in keys {
            self.purge(key);
        }
    }

    /// Returns a target's key.
    #[must_use]
    pub fn key_by_id(&self, id: &str) -> Option<TargetKey> {
        self.by_id.get(id).copied()
    }

    /// Returns a target's state.
    #[must_use]
    pub fn get(&self, key: TargetKey) -> Option<&TargetState> {
        self.targets.get(key)
    }

    /// Returns a target's state for changes.
    pub fn get_mut(&mut self, key: TargetKey) -> Option<&mut TargetState> {
        self.targets.get_mut(key)
    }

    /// Returns the targets of a service.
    pub fn service_targets(
        &self,
        service: &str,
    ) -> impl Iterator<Item = (TargetKey, &TargetState)> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().map(|&key| (key, &self.targets[key]))
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &TargetState)> {
        self.targets.iter()
    }

    /// Counts a request that is placed at a target.
    pub fn start_request(&mut self, key: TargetKey, now: MilliTime) {
        if let Some(state) = self.targets.get_mut(key) {
            state.local_requests += 1;
            state.outlier_detector.record_send(now);
        }
    }

    /// Counts the end of a request at a target.
    pub fn finish_request(&mut self, key: TargetKey) {
        if let Some(state) = self.targets.get_mut(key) {
            state.local_requests = state.local_requests.saturating_sub(1);
        }
    }

    /// Takes the requests that the other routers have at a target, and how theirs ended.
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
        }
    }

    /// Records how a send ended; returns whether that ejected the target.
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
        is_ejected
    }

    /// Returns how this router's sends to a target ended lately.
    pub fn local_outcomes(&mut self, key: TargetKey, now: MilliTime) -> OutcomeTotals {
        let state = self.targets.get_mut(key);
        state.map_or_else(OutcomeTotals::default, |state| {
            state.local_outcomes.sum(now)
        })
    }

    /// Ejects targets that stand out from their service by what all routers know, and returns them.
    ///
    /// Where every target fails alike, none is ejected.
    pub fn eject_outliers(&mut self, now: MilliTime) -> Vec<(TargetKey, OutcomeTotals)> {
        let keys: Vec<TargetKey> = self.targets.keys().collect();
        let mut by_service: HashMap<String, OutcomeTotals> = HashMap::new();
        let mut by_target = Vec::with_capacity(keys.len());
        for key in keys {
            let state = &mut self.targets[key];
            let totals = state.local_outcomes.sum(now).plus(state.peer_outcomes);
            if state.is_available() {
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

    /// Takes a load that a target told with an answer.
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

    fn purge(&mut self, key: TargetKey) {
        let Some(state) = self.targets.remove(key) else {
            return;
        };
        self.by_id.remove(&state.record.id);
        if let Some(keys) = self.by_service.get_mut(&state.record.service) {
            keys.retain(|&other| other != key);
        }
    }
}
