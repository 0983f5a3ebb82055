//! Forecasts of a target's current load.

use briarrail_model::{MilliDuration, MilliTime};

use crate::target_history::TargetHistory;

/// Longest time span that a forecast covers; earlier arrivals no longer affect the load.
const MAX_FORECAST_SPAN: MilliDuration = MilliDuration::from_secs(120);

/// Forecast of a target's load from its last report, in streams.
///
/// Streams end at a known rate, and the arrivals since the report follow from the fraction of chats
/// that each target kept, on which all routers agree. The forecast therefore falls while a target
/// sheds chats, before a new report arrives, which keeps the routers from shedding too many.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LoadForecast {
    pub(crate) reported_load: f32,
    pub(crate) reported_at: MilliTime,
    /// Mean load of the targets.
    pub(crate) mean_load: f32,
    /// Steady-state load of the arrivals before the first history sample, as a multiple of the mean
    /// load.
    pub(crate) prior_load_ratio: f32,
    /// Mean duration of a stream.
    pub(crate) stream_time: MilliDuration,
}

impl LoadForecast {
    /// Returns the expected load at `now`.
    pub(crate) fn expected_load(&self, history: &TargetHistory, now: MilliTime) -> f32 {
        let mut until = now;
        let mut from_arrivals = 0.0;
        let mut surviving_until_now = 1.0;
        let start = self.reported_at.max(now - MAX_FORECAST_SPAN);
        for sample in history.newest_first() {
            if until <= start {
                break;
            }
            let from = sample.at.max(start).min(until);
            let surviving = self.surviving_fraction(until.since(from));
            from_arrivals += surviving_until_now
                * (1.0 - surviving)
                * sample.admitted_load_ratio
                * self.mean_load;
            surviving_until_now *= surviving;
            until = from;
        }
        let surviving = self.surviving_fraction(until.since(start));
        from_arrivals +=
            surviving_until_now * (1.0 - surviving) * self.prior_load_ratio * self.mean_load;
        self.reported_load * surviving_until_now * surviving + from_arrivals
    }

    /// Returns the standard deviation of the forecast after `span`.
    pub(crate) fn std_dev(&self, span: MilliDuration) -> f32 {
        let surviving = self.surviving_fraction(span);
        let ended = 1.0 - surviving;
        let departures = self.reported_load * surviving * ended;
        let arrivals = self.mean_load * ended;
        (departures + arrivals).max(0.0).sqrt()
    }

    /// Returns the fraction of streams that are still running after `span`.
    fn surviving_fraction(&self, span: MilliDuration) -> f32 {
        let stream_time = self.stream_time.as_millis().max(1) as f32;
        let elapsed_stream_times = span.as_millis() as f32 / stream_time;
        (-elapsed_stream_times).exp()
    }
}
