//! Forecasts of a target's present load.

use briarrail_model::{MilliDuration, MilliTime};

use crate::target_history::TargetHistory;

/// Longest span that a forecast integrates; the load has forgotten what came before.
const MAX_SPAN: MilliDuration = MilliDuration::from_secs(120);

/// Forecast from a report of a load, in streams.
///
/// Streams end at a known rate, and the arrivals since the report follow from what the routers
/// have kept and shed, which all of them know alike. So a target that sheds is expected to have
/// lost load before any report says so, and the controller does not overshoot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LoadForecast {
    pub(crate) reported: f32,
    pub(crate) reported_at: MilliTime,
    /// Mean load of the pool.
    pub(crate) mean: f32,
    /// Load to which the arrivals led before the history begins, as a multiple of the mean.
    pub(crate) usual_inflow: f32,
    pub(crate) stream_time: MilliDuration,
}

impl LoadForecast {
    /// Returns the expected load at `now`.
    pub(crate) fn expected(&self, history: &TargetHistory, now: MilliTime) -> f32 {
        let mut until = now;
        let mut arrived = 0.0;
        let mut remaining = 1.0;
        let start = self.reported_at.max(now - MAX_SPAN);
        for sample in history.newest_first() {
            if until <= start {
                break;
            }
            let from = sample.at.max(start).min(until);
            let kept = self.remaining(until.since(from));
            arrived += remaining * (1.0 - kept) * sample.inflow * self.mean;
            remaining *= kept;
            until = from;
        }
        let kept = self.remaining(until.since(start));
        arrived += remaining * (1.0 - kept) * self.usual_inflow * self.mean;
        self.reported * remaining * kept + arrived
    }

    /// Returns the standard deviation of the load about the expected one, after a span.
    pub(crate) fn deviation(&self, span: MilliDuration) -> f32 {
        let remaining = self.remaining(span);
        let ended = 1.0 - remaining;
        let departures = self.reported * remaining * ended;
        let arrivals = self.mean * ended;
        (departures + arrivals).max(0.0).sqrt()
    }

    /// Returns the part of streams that still run after a span.
    fn remaining(&self, span: MilliDuration) -> f32 {
        let stream_time = self.stream_time.as_millis().max(1) as f32;
        let ratio = span.as_millis() as f32 / stream_time;
        (-ratio).exp()
    }
}
