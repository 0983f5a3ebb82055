//! Recent in-flight counts of one target.

use briarrail_model::{MilliDuration, MilliTime};

const SAMPLES: usize = 16;
const SAMPLE_SPACING: MilliDuration = MilliDuration::from_millis(750);

/// One in-flight count and its time.
#[derive(Debug, Clone, Copy, Default)]
struct CountSample {
    at: MilliTime,
    count: u32,
}

/// The in-flight counts of the last dozen seconds, to compare with a report of that time.
#[derive(Debug, Clone, Default)]
pub(crate) struct OwnHistory {
    samples: [CountSample; SAMPLES],
    written: usize,
}

impl OwnHistory {
    pub(crate) fn record(&mut self, count: u32, now: MilliTime) {
        let newest = self.newest();
        if newest.is_some_and(|sample| now.since(sample.at) < SAMPLE_SPACING) {
            return;
        }
        self.samples[self.written % SAMPLES] = CountSample { at: now, count };
        self.written += 1;
    }

    /// Returns the count at a time: the newest sample not after it, else the oldest one.
    pub(crate) fn count_at(&self, time: MilliTime) -> Option<u32> {
        let held = self.written.min(SAMPLES);
        let newest_first = (1..=held).map(|back| self.samples[(self.written - back) % SAMPLES]);
        let mut oldest = None;
        for sample in newest_first {
            if sample.at <= time {
                return Some(sample.count);
            }
            oldest = Some(sample.count);
        }
        oldest
    }

    fn newest(&self) -> Option<CountSample> {
        let last = self.written.checked_sub(1)?;
        Some(self.samples[last % SAMPLES])
    }
}
