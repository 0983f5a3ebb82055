//! Pools of a routing snapshot.

use std::sync::Arc;

use briarrail_model::{HostName, MilliDuration, PoolRow, StableHash};
use briarrail_policy::{
    InFlightCounts, PlacementDecision, PlacementRequest, PlacementView, TargetIndex, place,
};

use super::{PoolRuntime, TargetEntry};

/// A pool, its targets and their expected load.
#[derive(Debug, Clone)]
pub(crate) struct PoolEntry {
    /// Row of the pool in the configuration.
    pub(crate) row: PoolRow,
    /// Targets of the pool; a target's position is its index in `view`.
    pub(crate) targets: Vec<TargetEntry>,
    /// Expected load of the targets.
    pub(crate) view: PlacementView,
    /// Admission, retry budget and statistics, shared by all snapshots.
    pub(crate) runtime: Arc<PoolRuntime>,
}

/// Result of picking a target for a request.
#[derive(Debug, Clone)]
pub(crate) enum TargetPick {
    /// Send the request to this target.
    Send(TargetEntry),
    /// Pick again after this delay.
    Wait(MilliDuration),
    /// All targets are at their load bound; the caller may retry after this delay.
    Overloaded(MilliDuration),
    /// No eligible target is left.
    NoTarget,
}

impl PoolEntry {
    /// Picks a target for an attempt.
    ///
    /// Prefers targets that were not tried yet. If all were, any but the one tried last is allowed.
    pub(crate) fn pick(
        &self,
        chat: Option<StableHash>,
        tried: &[HostName],
        waited: MilliDuration,
        seed: u64,
    ) -> TargetPick {
        if self.view.eligible_count() == 0 {
            return TargetPick::NoTarget;
        }
        let request = PlacementRequest { chat, waited };
        match place(&self.view, &request, self, seed) {
            PlacementDecision::Send(list) => self.select_target(list.as_slice(), tried),
            PlacementDecision::Wait { retry_after } => TargetPick::Wait(retry_after),
            PlacementDecision::Refuse { retry_after } => TargetPick::Overloaded(retry_after),
        }
    }

    /// Returns the first untried candidate, or else the least loaded target that is allowed.
    fn select_target(&self, candidates: &[TargetIndex], tried: &[HostName]) -> TargetPick {
        let is_untried = |index: &TargetIndex| !tried.contains(&self.target(*index).name);
        let is_not_last_tried =
            |index: &TargetIndex| tried.last() != Some(&self.target(*index).name);
        let candidate = candidates.iter().copied().find(is_untried);
        let index = candidate
            .or_else(|| self.least_loaded(is_untried))
            .or_else(|| self.least_loaded(is_not_last_tried));
        index.map_or(TargetPick::NoTarget, |index| {
            TargetPick::Send(self.target(index).clone())
        })
    }

    fn least_loaded<P>(&self, predicate: P) -> Option<TargetIndex>
    where
        P: Fn(&TargetIndex) -> bool,
    {
        let all = (0..self.targets.len()).map(TargetIndex::new);
        let allowed = all.filter(|index| self.view.is_eligible(*index) && predicate(index));
        allowed.min_by_key(|index| self.in_flight(*index))
    }

    fn target(&self, index: TargetIndex) -> &TargetEntry {
        &self.targets[index.as_usize()]
    }
}

impl InFlightCounts for PoolEntry {
    fn in_flight(&self, target: TargetIndex) -> u32 {
        self.target(target).counters.in_flight()
    }
}
