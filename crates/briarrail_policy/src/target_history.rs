//! Recent history of one target.

use briarrail_model::{MilliDuration, MilliTime};

const MAX_SAMPLES: usize = 16;
const MIN_SAMPLE_INTERVAL: MilliDuration = MilliDuration::from_millis(750);

/// State of a target at one time, as this router saw it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct HistorySample {
    pub(crate) at: MilliTime,
    /// Requests in flight from this router.
    pub(crate) in_flight: u32,
    /// Steady-state load of the arrivals that the target admits, as a multiple of the mean load.
    pub(crate) admitted_load_ratio: f32,
}

/// Ring buffer of the most recent samples.
///
/// It covers at least 12 s, so that a forecast can start from a report of that age.
#[derive(Debug, Clone, Default)]
pub(crate) struct TargetHistory {
    samples: [HistorySample; MAX_SAMPLES],
    recorded_count: usize,
}

impl TargetHistory {
    pub(crate) fn record(&mut self, sample: HistorySample) {
        let newest = self.newest_first().next();
        if newest.is_some_and(|newest| sample.at.since(newest.at) < MIN_SAMPLE_INTERVAL) {
            return;
        }
        self.samples[self.recorded_count % MAX_SAMPLES] = sample;
        self.recorded_count += 1;
    }

    /// Returns this router's in-flight count at a time.
    ///
    /// Uses the newest sample that is not later than `time`, or the oldest sample if all are.
    pub(crate) fn in_flight_at(&self, time: MilliTime) -> Option<u32> {
        let mut in_flight = None;
        for sample in self.newest_first() {
            in_flight = Some(sample.in_flight);
            if sample.at <= time {
                break;
            }
        }
        in_flight
    }

    /// Returns the samples, newest first.
    pub(crate) fn newest_first(&self) -> impl Iterator<Item = &HistorySample> {
        let len = self.recorded_count.min(MAX_SAMPLES);
        (1..=len).map(|age| &self.samples[(self.recorded_count - age) % MAX_SAMPLES])
    }
}
