//! Snapshots of a pool's targets for traffic threads.

use briarrail_model::MilliTime;

use crate::view_target::{OpenTarget, ViewTarget};
use crate::{InFlightCounts, PlacementSettings};

/// Position of a target in the inputs from which its view was made.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetIndex(u32);

impl TargetIndex {
    /// Makes the index of a position.
    #[must_use]
    pub const fn new(position: usize) -> Self {
        Self(position as u32)
    }

    /// Returns the position.
    #[must_use]
    pub const fn as_usize(self) -> usize {
        self.0 as usize
    }
}

/// Immutable snapshot of a pool's targets and their expected loads.
///
/// The control thread makes one about once a second and whenever the host list changes.
#[derive(Debug, Clone)]
pub struct PlacementView {
    pub(crate) settings: PlacementSettings,
    pub(crate) created_at: MilliTime,
    pub(crate) mean: f32,
    /// Mean load with the router's own change scaled to the fleet, in streams.
    pub(crate) fleet_load: Option<f32>,
    pub(crate) targets: Vec<ViewTarget>,
    pub(crate) near: Vec<OpenTarget>,
    pub(crate) far: Vec<OpenTarget>,
}

impl PlacementView {
    /// Returns the number of targets that take new work.
    #[must_use]
    pub fn eligible_count(&self) -> usize {
        self.near.len() + self.far.len()
    }

    /// Returns the mean expected load of the targets of this region, in streams.
    #[must_use]
    pub const fn mean_load(&self) -> f32 {
        self.mean
    }

    /// Returns the load of the region as a part of its capacity, for [`crate::AdmissionController`].
    ///
    /// Returns none when the pool's row sets no limit of streams, or nothing has been reported.
    #[must_use]
    pub fn utilization(&self) -> Option<f32> {
        self.utilization_at(self.settings.max_streams_per_target)
    }

    /// Returns the load of the region as a part of its capacity at `slots` streams a target.
    #[must_use]
    pub fn utilization_at(&self, slots: u32) -> Option<f32> {
        let load = self.fleet_load.filter(|_| slots > 0)?;
        Some(load / slots as f32)
    }

    /// Returns the bytes of the view.
    #[must_use]
    pub fn state_bytes(&self) -> usize {
        let open = (self.near.capacity() + self.far.capacity()) * size_of::<OpenTarget>();
        let targets = self.targets.capacity() * size_of::<ViewTarget>();
        size_of::<Self>() + open + targets
    }

    /// Returns when the view was made.
    #[must_use]
    pub const fn created_at(&self) -> MilliTime {
        self.created_at
    }

    /// Returns whether a target takes new work.
    #[must_use]
    pub fn is_eligible(&self, target: TargetIndex) -> bool {
        let mut open = self.near.iter().chain(&self.far);
        open.any(|candidate| candidate.index == target)
    }

    /// Returns the expected load of a target now, in streams.
    pub(crate) fn load<C>(&self, target: TargetIndex, counts: &C) -> f32
    where
        C: InFlightCounts + ?Sized,
    {
        let entry = &self.targets[target.as_usize()];
        let own_change = counts.in_flight(target) as f32 - entry.own_at_report as f32;
        entry.expected + own_change
    }
}
