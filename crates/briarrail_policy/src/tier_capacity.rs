//! Remaining capacity of the targets of a tier.

use crate::eligible_target::EligibleTarget;
use crate::{InFlightCounts, PlacementView, TargetIndex};

/// Checks which targets of a view have capacity, given the router's current in-flight counts.
#[derive(Debug)]
pub(crate) struct TierCapacity<'a, C>
where
    C: InFlightCounts + ?Sized,
{
    view: &'a PlacementView,
    counts: &'a C,
    /// Current mean load as a multiple of the view's mean load; at least 1.
    mean_growth: f32,
}

impl<'a, C> TierCapacity<'a, C>
where
    C: InFlightCounts + ?Sized,
{
    pub(crate) const fn new(view: &'a PlacementView, counts: &'a C) -> Self {
        Self {
            view,
            counts,
            mean_growth: 1.0,
        }
    }

    /// Raises the limits by the growth of the mean load that this router caused since the view.
    ///
    /// Without this, a burst that is spread over all targets would be delayed until the next view.
    pub(crate) fn with_mean_growth(mut self, tier: &[EligibleTarget]) -> Self {
        let loads = tier.iter().map(|target| self.load(target.index).max(0.0));
        let mean = loads.sum::<f32>() / tier.len().max(1) as f32;
        self.mean_growth = (mean / self.view.mean_load.max(1.0)).max(1.0);
        self
    }

    /// Returns the fraction of its home chats that a target keeps at its current load.
    pub(crate) fn keep_fraction(&self, target: TargetIndex) -> f32 {
        if !self.is_under_stream_limits(target) {
            return 0.0;
        }
        let estimate = &self.view.targets[target.as_usize()];
        estimate.keep_fraction(self.load(target) / self.mean_growth)
    }

    /// Returns whether a target is below its hard limit and the configured stream limits.
    pub(crate) fn has_capacity(&self, target: TargetIndex) -> bool {
        let limit = self.view.targets[target.as_usize()].hard_limit;
        self.is_under_stream_limits(target) && self.load(target) < limit * self.mean_growth
    }

    /// Returns the load as an integer, for sorting.
    pub(crate) fn load_sort_key(&self, target: TargetIndex) -> i64 {
        (self.load(target) * 1_024.0) as i64
    }

    fn load(&self, target: TargetIndex) -> f32 {
        self.view.load(target, self.counts)
    }

    fn is_under_stream_limits(&self, target: TargetIndex) -> bool {
        let settings = &self.view.settings;
        let max_streams = settings.max_streams_per_target;
        let below_max_streams = max_streams == 0 || self.load(target) < max_streams as f32;
        below_max_streams && self.counts.in_flight(target) < settings.max_in_flight_per_target
    }
}
