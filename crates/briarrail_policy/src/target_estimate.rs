//! Load estimates of targets in a view.

/// Estimated load and limits of one target in a view; loads are in streams.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TargetEstimate {
    /// Expected load, without the change of this router's in-flight count since the report.
    pub(crate) expected_load: f32,
    /// Requests in flight from this router when the load was reported.
    pub(crate) in_flight_at_report: u32,
    /// Load at which the target accepts no more chats.
    pub(crate) shed_limit: f32,
    /// Load at which the target accepts no more requests.
    pub(crate) hard_limit: f32,
    /// Width of the band below the shed limit in which only a fraction of the chats is kept.
    pub(crate) shed_band: f32,
    /// Fraction of its home chats that the target keeps at low load.
    pub(crate) max_keep_fraction: f32,
    /// Steady-state load of the arrivals that the target admits, as a multiple of the mean load.
    pub(crate) admitted_load_ratio: f32,
}

impl TargetEstimate {
    /// Returns the fraction of its home chats that the target keeps at a load.
    pub(crate) fn keep_fraction(&self, load: f32) -> f32 {
        let headroom = (self.shed_limit - load) / self.shed_band;
        headroom.clamp(0.0, 1.0) * self.max_keep_fraction
    }
}
