//! Byte rates of the control traffic.

use std::collections::VecDeque;

use briarrail_model::{MilliDuration, MilliTime};

const RATE_WINDOW: MilliDuration = MilliDuration::from_secs(10);

/// Control traffic since the start of the router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ControlBytes {
    /// Bytes sent, headers included.
    pub(crate) sent: u64,
    /// Bytes received, headers included.
    pub(crate) received: u64,
}

/// Byte rates by direction.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct ByteRates {
    /// Bytes sent per second.
    pub(crate) sent: f64,
    /// Bytes received per second.
    pub(crate) received: f64,
}

/// Averages the control traffic over a sliding window.
#[derive(Debug, Clone, Default)]
pub(crate) struct ControlRate {
    samples: VecDeque<(MilliTime, ControlBytes)>,
}

impl ControlRate {
    /// Records a sample of the bytes since the start.
    pub(crate) fn record_sample(&mut self, bytes: ControlBytes, now: MilliTime) {
        self.samples.push_back((now, bytes));
        while self.samples.len() > 2 && now.since(self.samples[1].0) >= RATE_WINDOW {
            self.samples.pop_front();
        }
    }

    /// Returns the mean rates over the window.
    pub(crate) fn rates(&self) -> ByteRates {
        let (Some((from, first)), Some((until, last))) =
            (self.samples.front(), self.samples.back())
        else {
            return ByteRates::default();
        };
        let seconds = until.since(*from).as_secs_f64();
        if seconds <= 0.0 {
            return ByteRates::default();
        }
        ByteRates {
            sent: (last.sent - first.sent) as f64 / seconds,
            received: (last.received - first.received) as f64 / seconds,
        }
    }
}
