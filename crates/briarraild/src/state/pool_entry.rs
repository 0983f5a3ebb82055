//! Pools as traffic threads see them.

use std::sync::Arc;

use briarrail_model::{HostName, MilliDuration, PoolRow, StableHash};
use briarrail_policy::{
    InFlightCounts, PlacementDecision, PlacementRequest, PlacementView, TargetIndex, place,
};

use super::{PoolRuntime, TargetEntry};

/// One pool and its targets.
#[derive(Debug, Clone)]
pub(crate) struct PoolEntry {
    /// Row of the pools table.
    pub(crate) row: PoolRow,
    /// Live and leaving targets, in the order of the view's indexes.
    pub(crate) targets: Vec<TargetEntry>,
    /// Expected loads of the targets.
    pub(crate) view: PlacementView,
    /// Admission and retry budget.
    pub(crate) runtime: Arc<PoolRuntime>,
}

/// Where a request goes.
#[derive(Debug, Clone)]
pub(crate) enum TargetPick {
    /// Send to this target.
    Send(TargetEntry),
    /// Ask again after the span.
    Wait(MilliDuration),
    /// Every target is at its bound.
    Overloaded(MilliDuration),
    /// There is no live target that was not tried.
    NoTarget,
}

impl PoolEntry {
    /// Picks a target that was not tried yet.
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
            PlacementDecision::Send(list) => self.first_untried(list.as_slice(), tried),
            PlacementDecision::Wait { retry_after } => TargetPick::Wait(retry_after),
            PlacementDecision::Refuse { retry_after } => TargetPick::Overloaded(retry_after),
        }
    }

    /// Prefers targets that were not tried, then any but the one tried last.
    fn first_untried(&self, candidates: &[TargetIndex], tried: &[HostName]) -> TargetPick {
        let is_untried = |index: &TargetIndex| !tried.contains(&self.target(*index).name);
        let is_other = |index: &TargetIndex| tried.last() != Some(&self.target(*index).name);
        let candidate = candidates.iter().copied().find(is_untried);
        let index = candidate
            .or_else(|| self.least_used(is_untried))
            .or_else(|| self.least_used(is_other));
        index.map_or(TargetPick::NoTarget, |index| {
            TargetPick::Send(self.target(index).clone())
        })
    }

    fn least_used<P>(&self, predicate: P) -> Option<TargetIndex>
    where
        P: Fn(&TargetIndex) -> bool,
    {
        let all = (0..self.targets.len()).map(TargetIndex::new);
        let open = all.filter(|index| self.view.is_eligible(*index) && predicate(index));
        open.min_by_key(|index| self.in_flight(*index))
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
