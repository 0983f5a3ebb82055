//! Room that targets have for new work.

use crate::view_target::OpenTarget;
use crate::{InFlightCounts, PlacementView, TargetIndex};

/// Tells which targets of a view have room, with the router's present counts.
#[derive(Debug)]
pub(crate) struct TierRoom<'a, C>
where
    C: InFlightCounts + ?Sized,
{
    view: &'a PlacementView,
    counts: &'a C,
    /// Mean load now as a multiple of the view's.
    growth: f32,
}

impl<'a, C> TierRoom<'a, C>
where
    C: InFlightCounts + ?Sized,
{
    pub(crate) const fn new(view: &'a PlacementView, counts: &'a C) -> Self {
        Self {
            view,
            counts,
            growth: 1.0,
        }
    }

    /// Lifts the limits by the growth of the mean that the router itself caused since the view.
    ///
    /// Without it, a burst that reaches all targets alike would be held back until the next view.
    pub(crate) fn grown(mut self, tier: &[OpenTarget]) -> Self {
        let loads = tier.iter().map(|target| self.load(target.index).max(0.0));
        let mean = loads.sum::<f32>() / tier.len().max(1) as f32;
        self.growth = (mean / self.view.mean.max(1.0)).max(1.0);
        self
    }

    /// Returns the part of its home chats that a target keeps.
    pub(crate) fn kept_part(&self, target: TargetIndex) -> f32 {
        if !self.has_slot(target) {
            return 0.0;
        }
        let entry = &self.view.targets[target.as_usize()];
        entry.kept_part(self.load(target) / self.growth)
    }

    /// Returns whether a target may take any request.
    pub(crate) fn has_room(&self, target: TargetIndex) -> bool {
        let limit = self.view.targets[target.as_usize()].promise_limit;
        self.has_slot(target) && self.load(target) < limit * self.growth
    }

    /// Returns the load as an integer key that orders like it.
    pub(crate) fn ordered_load(&self, target: TargetIndex) -> i64 {
        (self.load(target) * 1_024.0) as i64
    }

    fn load(&self, target: TargetIndex) -> f32 {
        self.view.load(target, self.counts)
    }

    fn has_slot(&self, target: TargetIndex) -> bool {
        let settings = &self.view.settings;
        let slots = settings.max_streams_per_target;
        let under_slots = slots == 0 || self.load(target) < slots as f32;
        under_slots && self.counts.in_flight(target) < settings.max_in_flight_per_target
    }
}
