//! The recent past of an engine's load.

use std::collections::VecDeque;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use briarrail_model::MilliTime;

use crate::engine::LoadReport;

/// Load at each change, back to the lag with which it is reported.
#[derive(Debug)]
pub(crate) struct LoadHistory {
    lag: Duration,
    capacity: usize,
    samples: VecDeque<LoadSample>,
}

/// Load from one moment on.
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

    /// Enters a change of the load.
    pub(crate) fn record(&mut self, streams: usize, queued: usize, now: Instant) {
        let sample = LoadSample {
            at: now,
            streams,
            queued,
        };
        self.samples.push_back(sample);
        self.prune(now);
    }

    /// Returns the load as it was when the lag began.
    pub(crate) fn report(&mut self, now: Instant) -> LoadReport {
        self.prune(now);
        let first = self.samples.front();
        let seen = first.filter(|sample| sample.at + self.lag <= now);
        LoadReport {
            streams: seen.map_or(0, |sample| sample.streams),
            queued: seen.map_or(0, |sample| sample.queued),
            capacity: self.capacity,
            at_ms: unix_before(self.lag),
        }
    }

    /// Drops the samples that a later one of the reported past replaces.
    fn prune(&mut self, now: Instant) {
        let lag = self.lag;
        let is_past = |sample: &LoadSample| sample.at + lag <= now;
        while self.samples.get(1).is_some_and(is_past) {
            self.samples.pop_front();
        }
    }
}

fn unix_before(lag: Duration) -> MilliTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().saturating_sub(lag).as_millis();
    MilliTime::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
}
