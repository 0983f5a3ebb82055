//! Snapshots of a pool's targets for traffic threads.

use briarrail_model::MilliTime;

use crate::eligible_target::EligibleTarget;
use crate::target_estimate::TargetEstimate;
use crate::{InFlightCounts, PlacementSettings};

/// Position of a target in the inputs from which its view was built.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetIndex(u32);

impl TargetIndex {
    /// Creates the index of a position.
    #[must_use]
    pub const fn new(position: usize) -> Self {
        Self(position as u32)
    }

    /// Returns the position in the inputs.
    #[must_use]
    pub const fn as_usize(self) -> usize {
        self.0 as usize
    }
}

/// Immutable snapshot of a pool's targets and their expected loads.
///
/// The control thread builds a view about once a second and whenever the host list changes.
#[derive(Debug, Clone)]
pub struct PlacementView {
    pub(crate) settings: PlacementSettings,
    pub(crate) created_at: MilliTime,
    /// Mean expected load of the targets of this region, or of the other regions if this region
    /// has none, in streams.
    pub(crate) mean_load: f32,
    /// Mean load with the change of this router's in-flight counts extrapolated to the fleet, in
    /// streams.
    pub(crate) fleet_mean_load: Option<f32>,
    pub(crate) targets: Vec<TargetEstimate>,
    /// Eligible targets of this region.
    pub(crate) local: Vec<EligibleTarget>,
    /// Eligible targets of other regions.
    pub(crate) remote: Vec<EligibleTarget>,
}

impl PlacementView {
    /// Returns the number of targets that may receive new requests.
    #[must_use]
    pub fn eligible_count(&self) -> usize {
        self.local.len() + self.remote.len()
    }

    /// Returns the mean expected load, in streams.
    ///
    /// The mean is over the targets of this region, or of the other regions if it has none.
    #[must_use]
    pub const fn mean_load(&self) -> f32 {
        self.mean_load
    }

    /// Returns the load as a fraction of capacity, for [`crate::AdmissionController`].
    ///
    /// Returns `None` if the pool's row sets no stream limit or there is no recent load
    /// record.
    #[must_use]
    pub fn utilization(&self) -> Option<f32> {
        self.utilization_at(self.settings.max_streams_per_target)
    }

    /// Returns the load as a fraction of capacity if each target can hold `max_streams` streams.
    #[must_use]
    pub fn utilization_at(&self, max_streams: u32) -> Option<f32> {
        let load = self.fleet_mean_load.filter(|_| max_streams > 0)?;
        Some(load / max_streams as f32)
    }

    /// Returns the memory used by the view, in bytes.
    #[must_use]
    pub fn state_bytes(&self) -> usize {
        let eligible =
            (self.local.capacity() + self.remote.capacity()) * size_of::<EligibleTarget>();
        let targets = self.targets.capacity() * size_of::<TargetEstimate>();
        size_of::<Self>() + eligible + targets
    }

    /// Returns the time at which the view was built.
    #[must_use]
    pub const fn created_at(&self) -> MilliTime {
        self.created_at
    }

    /// Returns whether a target may receive new requests.
    #[must_use]
    pub fn is_eligible(&self, target: TargetIndex) -> bool {
        let mut eligible = self.local.iter().chain(&self.remote);
        eligible.any(|candidate| candidate.index == target)
    }

    /// Returns the expected load of a target with the current in-flight counts, in streams.
    pub(crate) fn load<C>(&self, target: TargetIndex, counts: &C) -> f32
    where
        C: InFlightCounts + ?Sized,
    {
        let estimate = &self.targets[target.as_usize()];
        let local_change = counts.in_flight(target) as f32 - estimate.in_flight_at_report as f32;
        estimate.expected_load + local_change
    }
}
