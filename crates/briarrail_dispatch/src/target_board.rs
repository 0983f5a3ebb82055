//! What this router believes of each target.

use std::collections::HashMap;

use briarrail_model::{MilliDuration, MilliTime, StableHash, hash_bytes};
use slotmap::{SlotMap, new_key_type};

use crate::{OutcomeUnits, OutcomeWindow, OutlierGuard, SendOutcome, TargetPhase, TargetRow};

new_key_type! {
    /// Names a target of one [`TargetBoard`].
    pub struct TargetKey;
}

/// Longest age of the other routers' counts; older ones say nothing of the present load.
const PEER_COUNT_AGE: MilliDuration = MilliDuration::from_millis(1_500);
/// Time for which a target that left without draining still serves; the shortest drain of a site.
const GONE_MEMORY: MilliDuration = MilliDuration::from_millis(1_500);
/// Time from which a listed target has taken over prompts; a popular one is asked for once in it.
const SETTLING_TIME: MilliDuration = MilliDuration::from_millis(1_500);
/// Longest age of a load that a target told with an answer.
const TOLD_LOAD_AGE: MilliDuration = MilliDuration::from_millis(400);

/// A load that a target told with an answer.
#[derive(Debug, Clone, Copy)]
struct ToldLoad {
    running: u32,
    waiting: u32,
    told_at: MilliTime,
    own_then: u32,
}

/// State of one target.
#[derive(Debug, Clone)]
pub struct TargetState {
    /// What the store lists.
    pub row: TargetRow,
    /// Hash of the identity, for rendezvous order.
    pub hash: StableHash,
    /// Ejection.
    pub guard: OutlierGuard,
    /// Requests of this router that the target works on.
    own: u32,
    /// Requests of the other routers, and when that was known.
    peers: Option<(f32, MilliTime)>,
    told: Option<ToldLoad>,
    /// Outcomes of this router's sends, and of the other routers'.
    outcomes: OutcomeWindow,
    peer_outcomes: OutcomeUnits,
    /// When the target, or a new run of it, was first listed.
    listed_at: MilliTime,
    /// When the target went off the list.
    gone_at: Option<MilliTime>,
}

impl TargetState {
    /// Returns the requests of this router that the target works on.
    #[must_use]
    pub const fn own_requests(&self) -> u32 {
        self.own
    }

    /// Returns the requests that the target is expected to hold now.
    #[must_use]
    pub fn expected_load(&self, now: MilliTime) -> f32 {
        let is_fresh = |at: MilliTime| now.since(at) <= PEER_COUNT_AGE;
        let peers = self.peers.filter(|&(_, at)| is_fresh(at));
        let counted = self.own as f32 + peers.map_or(0.0, |(count, _)| count);
        let told = self
            .told
            .filter(|told| now.since(told.told_at) <= TOLD_LOAD_AGE);
        let Some(told) = told else {
            return counted;
        };
        let since_then = self.own as f32 - told.own_then as f32;
        let told_load = (told.running + told.waiting) as f32 + since_then;
        counted.max(told_load)
    }

    /// Returns whether new requests may go to the target at all.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.gone_at.is_none() && self.row.phase == TargetPhase::Ready
    }

    /// Returns whether the target can hand out the context that it keeps.
    ///
    /// One that drained before it left is down; one that left at once goes on for a while. A
    /// target that is down would delay the request by a time limit of the fetching target.
    #[must_use]
    pub fn hands_out_context(&self, now: MilliTime) -> bool {
        let is_up = self
            .gone_at
            .is_none_or(|at| self.row.phase == TargetPhase::Ready && now.since(at) <= GONE_MEMORY);
        is_up && (self.guard.ejected_until().is_none() || self.guard.answers(now))
    }

    /// Returns whether the target was listed long enough to keep prompts.
    #[must_use]
    pub fn is_settled(&self, now: MilliTime) -> bool {
        now.since(self.listed_at) >= SETTLING_TIME
    }

    /// Returns the age of the other routers' counts, if they are known.
    #[must_use]
    pub fn peer_count_age(&self, now: MilliTime) -> Option<MilliDuration> {
        self.peers.map(|(_, at)| now.since(at))
    }
}

/// All targets, by key and by service.
#[derive(Debug, Default)]
pub struct TargetBoard {
    targets: SlotMap<TargetKey, TargetState>,
    by_id: HashMap<String, TargetKey>,
    by_service: HashMap<String, Vec<TargetKey>>,
}

impl TargetBoard {
    /// Adds a target or takes its new row.
    pub fn put(&mut self, row: TargetRow, now: MilliTime) -> TargetKey {
        if let Some(&key) = self.by_id.get(&row.id) {
            let state = &mut self.targets[key];
            let restarted = state.row.started_unix_ms != row.started_unix_ms
                || state.row.address != row.address;
            if restarted {
                state.guard = OutlierGuard::default();
                state.told = None;
                state.peers = None;
                state.outcomes.clear();
                state.peer_outcomes = OutcomeUnits::default();
                state.listed_at = now;
            }
            state.row = row;
            state.gone_at = None;
            return key;
        }
        let (id, service) = (row.id.clone(), row.service.clone());
        let key = self.targets.insert(TargetState {
            hash: hash_bytes(id.as_bytes()),
            row,
            guard: OutlierGuard::default(),
            own: 0,
            peers: None,
            told: None,
            outcomes: OutcomeWindow::default(),
            peer_outcomes: OutcomeUnits::default(),
            listed_at: now,
            gone_at: None,
        });
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
        key
    }

    /// Takes a target off the list; its state goes some time after its last request.
    pub fn remove(&mut self, id: &str, now: MilliTime) {
        if let Some(&key) = self.by_id.get(id) {
            self.targets[key].gone_at = Some(now);
        }
    }

    /// Forgets targets that are long gone and have no requests of this router.
    pub fn forget_gone(&mut self, now: MilliTime) {
        let is_over = |state: &TargetState| {
            let gone_long = |at: MilliTime| now.since(at) > GONE_MEMORY;
            state.own == 0 && state.gone_at.is_some_and(gone_long)
        };
        let over = self.targets.iter().filter(|(_, state)| is_over(state));
        let keys: Vec<TargetKey> = over.map(|(key, _)| key).collect();
        for key in keys {
            self.forget(key);
        }
    }

    /// Returns a target's key.
    #[must_use]
    pub fn key_of(&self, id: &str) -> Option<TargetKey> {
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
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = (TargetKey, &TargetState)> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().map(|&key| (key, &self.targets[key]))
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &TargetState)> {
        self.targets.iter()
    }

    /// Counts a request that is placed at a target.
    pub fn begin(&mut self, key: TargetKey, now: MilliTime) {
        if let Some(state) = self.targets.get_mut(key) {
            state.own += 1;
            state.guard.note_send(now);
        }
    }

    /// Counts the end of a request at a target.
    pub fn end(&mut self, key: TargetKey) {
        if let Some(state) = self.targets.get_mut(key) {
            state.own = state.own.saturating_sub(1);
        }
    }

    /// Takes the requests that the other routers have at a target, and how theirs ended.
    pub fn set_peer_state(
        &mut self,
        key: TargetKey,
        count: f32,
        outcomes: OutcomeUnits,
        as_of: MilliTime,
    ) {
        if let Some(state) = self.targets.get_mut(key) {
            state.peers = Some((count, as_of));
            state.peer_outcomes = outcomes;
        }
    }

    /// Records how a send ended; returns whether that ejected the target.
    pub fn record(&mut self, key: TargetKey, outcome: SendOutcome, now: MilliTime) -> bool {
        let Some(state) = self.targets.get_mut(key) else {
            return false;
        };
        state.outcomes.record(outcome, now);
        let was_ejected = state.guard.ejected_until().is_some();
        let is_ejected = state.guard.record(outcome, now);
        if was_ejected && state.guard.ejected_until().is_none() {
            state.outcomes.clear();
        }
        is_ejected
    }

    /// Returns how this router's sends to a target ended lately.
    pub fn own_outcomes(&mut self, key: TargetKey, now: MilliTime) -> OutcomeUnits {
        let state = self.targets.get_mut(key);
        state.map_or_else(OutcomeUnits::default, |state| state.outcomes.sum(now))
    }

    /// Ejects targets that stand out from their service by what all routers know, and returns them.
    ///
    /// Where every target fails alike, none is ejected.
    pub fn eject_outliers(&mut self, now: MilliTime) -> Vec<(TargetKey, OutcomeUnits)> {
        let keys: Vec<TargetKey> = self.targets.keys().collect();
        let mut of_service: HashMap<String, OutcomeUnits> = HashMap::new();
        let mut of_target = Vec::with_capacity(keys.len());
        for key in keys {
            let state = &mut self.targets[key];
            let units = state.outcomes.sum(now).plus(state.peer_outcomes);
            if state.is_open() {
                let sum = of_service.entry(state.row.service.clone()).or_default();
                *sum = sum.plus(units);
                of_target.push((key, units));
            }
        }
        of_target.retain(|&(key, units)| {
            let state = &mut self.targets[key];
            let all = of_service[&state.row.service];
            let others = OutcomeUnits {
                good: all.good - units.good,
                failed: all.failed - units.failed,
            };
            units.stands_out(others) && state.guard.eject_by_evidence(now)
        });
        of_target
    }

    /// Takes a load that a target told with an answer.
    pub fn note_told_load(&mut self, key: TargetKey, running: u32, waiting: u32, now: MilliTime) {
        if let Some(state) = self.targets.get_mut(key) {
            state.told = Some(ToldLoad {
                running,
                waiting,
                told_at: now,
                own_then: state.own,
            });
        }
    }

    fn forget(&mut self, key: TargetKey) {
        let Some(state) = self.targets.remove(key) else {
            return;
        };
        self.by_id.remove(&state.row.id);
        if let Some(keys) = self.by_service.get_mut(&state.row.service) {
            keys.retain(|&other| other != key);
        }
    }
}
