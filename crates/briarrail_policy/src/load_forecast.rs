//! Forecasts of a target's present load.

/// The load of a target as of its last report, and what to expect since, in streams.
///
/// Between reports the load returns to the target's usual level at the rate at which streams end.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct LoadForecast {
    /// Streams that the report gave.
    pub(crate) reported: f32,
    /// Level to which the load returns.
    pub(crate) usual: f32,
    /// Part of the load that other routers send.
    pub(crate) others: f32,
}

impl LoadForecast {
    /// Returns the expected load when `remaining` of the reported streams still run.
    ///
    /// The change of the router's own in-flight count comes on top.
    pub(crate) fn expected(&self, remaining: f32) -> f32 {
        let drift = (self.usual - self.reported) * (1.0 - remaining);
        (self.reported + self.others * drift).max(0.0)
    }

    /// Returns the standard deviation of the load about the expected one.
    pub(crate) fn deviation(&self, remaining: f32) -> f32 {
        let ended = 1.0 - remaining;
        let departures = self.reported * remaining * ended;
        let arrivals = self.usual * ended;
        (self.others * (departures + arrivals)).max(0.0).sqrt()
    }
}
