//! Recent load of an engine.

use std::collections::VecDeque;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use briarrail_model::MilliTime;

use crate::engine::LoadReport;

/// Samples of the load at each change, kept for as long as the reporting delay requires.
#[derive(Debug)]
pub(crate) struct LoadHistory {
    lag: Duration,
    capacity: usize,
    samples: VecDeque<LoadSample>,
}

/// Load from a point in time until the next sample.
#[derive(Debug)]
struct LoadSample {
    at: Instant,
    streams: usize,
    queued: usize,
}

impl LoadHistory {
    pub(crate) fn new(lag: Duration, capacity: usize) -> Self {
        let samples = VecDeque::new();
        Self {
            lag,
            capacity,
            samples,
        }
    }

    /// Records a change of the load.
    pub(crate) fn record(&mut self, streams: usize, queued: usize, now: Instant) {
        let sample = LoadSample {
            at: now,
            streams,
            queued,
        };
        self.samples.push_back(sample);
        self.prune(now);
    }

    /// Returns the load as it was one lag before `now`.
    pub(crate) fn report(&mut self, now: Instant) -> LoadReport {
        self.prune(now);
        let oldest = self.samples.front();
        let reported = oldest.filter(|sample| sample.at + self.lag <= now);
        LoadReport {
            streams: reported.map_or(0, |sample| sample.streams),
            queued: reported.map_or(0, |sample| sample.queued),
            capacity: self.capacity,
            at_ms: unix_time_before(self.lag),
        }
    }

    /// Drops the samples that are superseded by a later one which is at least one lag old.
    fn prune(&mut self, now: Instant) {
        let lag = self.lag;
        let is_reportable = |sample: &LoadSample| sample.at + lag <= now;
        while self.samples.get(1).is_some_and(is_reportable) {
            self.samples.pop_front();
        }
    }
}

/// Returns the Unix time one lag ago.
fn unix_time_before(lag: Duration) -> MilliTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().saturating_sub(lag).as_millis();
    MilliTime::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
}
