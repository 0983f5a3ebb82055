//! Bounds on the requests to cold targets, over all targets of a registry.

use std::collections::HashMap;

use briarrail_model::{MilliDuration, MilliTime};

use crate::cold_limiter::ColdLimiter;
use crate::{ColdSource, ColdTerms, RouterList, SendNeed, TargetKey, TargetRegistry, TargetState};

/// A target that turned cold or warm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdChange {
    /// It turned cold.
    Cold {
        /// Where this is known from.
        source: ColdSource,
        /// Time for which it stays cold.
        left: MilliDuration,
        /// Requests that this router may send to it in any second.
        share: u32,
    },
    /// It is warm, and its bound has been raised to its end.
    Warm,
}

impl TargetRegistry {
    /// Sets the bounds of the services; services without one are left out.
    pub fn set_cold_terms(&mut self, terms: HashMap<String, ColdTerms>) {
        self.cold_policy.terms = terms;
    }

    /// Records the routers among which the bounds are divided.
    pub fn observe_routers(&mut self, list: &RouterList, now: MilliTime) {
        self.cold_policy.members.observe(list, now);
    }

    /// Records for how long a target stays cold, by one of its answers.
    pub fn record_cold(&mut self, key: TargetKey, left: MilliDuration, now: MilliTime) {
        if let Some(limiter) = self.cold_limiter_mut(key) {
            limiter.record_cold(left, ColdSource::Answer, now);
        }
    }

    /// Returns the bound on the requests to the cold targets of a service, if it has one.
    #[must_use]
    pub fn cold_terms(&self, service: &str) -> Option<&ColdTerms> {
        self.cold_policy.terms.get(service)
    }

    /// Returns the cold targets of a service that this router may send nothing now, so that
    /// placement passes over them.
    #[must_use]
    pub fn full_cold_targets(&self, service: &str, now: MilliTime) -> Vec<TargetKey> {
        let Some(terms) = self.cold_terms(service) else {
            return Vec::new();
        };
        let targets = self.service_targets(service);
        let full = targets.filter(|(_, state)| self.cold_wait(state, terms, now).is_some());
        full.map(|(key, _)| key).collect()
    }

    /// Returns the time after which this router may send a request to some target of a service, if
    /// only cold targets that it may send nothing now can serve the request.
    #[must_use]
    pub fn cold_room_at(
        &self,
        service: &str,
        need: &SendNeed<'_>,
        now: MilliTime,
    ) -> Option<MilliTime> {
        let terms = self.cold_terms(service)?;
        let targets = self.service_targets(service).map(|(_, state)| state);
        let available = targets.filter(|state| state.denial(need, now).is_none());
        let waits: Option<Vec<_>> = available
            .map(|state| self.cold_wait(state, terms, now))
            .collect();
        waits?.into_iter().min()
    }

    /// Returns the targets that turned cold or warm since the last call.
    pub fn take_cold_changes(&mut self, now: MilliTime) -> Vec<(TargetKey, ColdChange)> {
        let keys: Vec<TargetKey> = self.iter().map(|(key, _)| key).collect();
        let changes = keys
            .into_iter()
            .filter_map(|key| Some((key, self.take_cold_change(key, now)?)));
        changes.collect()
    }

    fn take_cold_change(&mut self, key: TargetKey, now: MilliTime) -> Option<ColdChange> {
        let state = self.get(key)?;
        let terms = self.cold_terms(&state.record.service);
        let is_cold = terms.is_some_and(|terms| state.cold_limiter.is_bounded(terms, now));
        let is_change = self.cold_limiter_mut(key)?.take_change(is_cold);
        if !is_change {
            return None;
        }
        if !is_cold {
            return Some(ColdChange::Warm);
        }
        let state = self.get(key)?;
        let terms = self.cold_terms(&state.record.service)?;
        let (until, source) = state.cold_limiter.cold_until(terms)?;
        let members = &self.cold_policy.members;
        let share = state.cold_limiter.share(terms, members, state.hash, now);
        Some(ColdChange::Cold {
            source,
            left: until.since(now),
            share: share.unwrap_or_default(),
        })
    }

    /// Returns the time after which this router may send a request to a target, or `None` if it may
    /// send one now.
    pub(crate) fn cold_wait(
        &self,
        state: &TargetState,
        terms: &ColdTerms,
        now: MilliTime,
    ) -> Option<MilliTime> {
        let members = &self.cold_policy.members;
        state.cold_limiter.room_at(terms, members, state.hash, now)
    }

    /// Records that a request to a target was admitted.
    ///
    /// Requests count also while the target is warm, for it may turn cold within a second.
    pub(crate) fn record_cold_send(&mut self, key: TargetKey, now: MilliTime) {
        if let Some(limiter) = self.bounded_limiter_mut(key) {
            limiter.record_send(now);
        }
    }

    /// Records that a request to a target leaves now that was admitted at an earlier time.
    pub fn record_departure(&mut self, key: TargetKey, admitted_at: MilliTime, now: MilliTime) {
        if let Some(limiter) = self.bounded_limiter_mut(key) {
            limiter.record_departure(admitted_at, now);
        }
    }

    /// Returns the limiter of a target of a service with a bound.
    fn bounded_limiter_mut(&mut self, key: TargetKey) -> Option<&mut ColdLimiter> {
        let service = &self.get(key)?.record.service;
        let has_bound = self.cold_policy.terms.contains_key(service);
        self.cold_limiter_mut(key).filter(|_| has_bound)
    }

    fn cold_limiter_mut(&mut self, key: TargetKey) -> Option<&mut ColdLimiter> {
        Some(&mut self.get_mut(key)?.cold_limiter)
    }
}
