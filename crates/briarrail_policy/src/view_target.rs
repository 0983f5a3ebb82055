//! Targets as a view holds them.

use briarrail_model::StableHash;

use crate::TargetIndex;

/// One target of a view; loads are in streams.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ViewTarget {
    /// Expected load, without the change of the router's own in-flight count.
    pub(crate) expected: f32,
    /// Requests in flight from this router when the load was reported.
    pub(crate) own_at_report: u32,
    /// Load at which the target takes no chat any more.
    pub(crate) shed_limit: f32,
    /// Load above which the target takes no request at all.
    pub(crate) promise_limit: f32,
    /// Width of the zone below the shed limit in which only a part of the chats is kept.
    pub(crate) shed_band: f32,
    /// Part of its home chats that the target takes while its load is low.
    pub(crate) share: f32,
    /// Load to which the admitted arrivals lead, as a multiple of the mean.
    pub(crate) inflow: f32,
}

impl ViewTarget {
    /// Returns the part of its home chats that the target keeps at a load.
    pub(crate) fn kept_part(&self, load: f32) -> f32 {
        let room = (self.shed_limit - load) / self.shed_band;
        room.clamp(0.0, 1.0) * self.share
    }
}

/// A target that takes new work.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OpenTarget {
    pub(crate) name: StableHash,
    pub(crate) index: TargetIndex,
}
