//! Recent history of one target.

use briarrail_model::{MilliDuration, MilliTime};

const SAMPLES: usize = 16;
const SAMPLE_SPACING: MilliDuration = MilliDuration::from_millis(750);

/// What a router saw and did about a target at one time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct HistorySample {
    pub(crate) at: MilliTime,
    /// Requests in flight from this router.
    pub(crate) own: u32,
    /// Load to which the admitted arrivals lead, as a multiple of the mean.
    pub(crate) inflow: f32,
}

/// The samples of the last dozen seconds, to forecast from a report of that time.
#[derive(Debug, Clone, Default)]
pub(crate) struct TargetHistory {
    samples: [HistorySample; SAMPLES],
    written: usize,
}

impl TargetHistory {
    pub(crate) fn record(&mut self, sample: HistorySample) {
        let newest = self.newest_first().next();
        if newest.is_some_and(|newest| sample.at.since(newest.at) < SAMPLE_SPACING) {
            return;
        }
        self.samples[self.written % SAMPLES] = sample;
        self.written += 1;
    }

    /// Returns the own count at a time: of the newest sample not after it, else of the oldest.
    pub(crate) fn own_at(&self, time: MilliTime) -> Option<u32> {
        let mut own = None;
        for sample in self.newest_first() {
            own = Some(sample.own);
            if sample.at <= time {
                break;
            }
        }
        own
    }

    /// Returns the samples, newest first.
    pub(crate) fn newest_first(&self) -> impl Iterator<Item = &HistorySample> {
        let held = self.written.min(SAMPLES);
        (1..=held).map(|back| &self.samples[(self.written - back) % SAMPLES])
    }
}
