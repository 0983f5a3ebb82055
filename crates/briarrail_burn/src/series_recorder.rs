//! Recording of the counts of a customer or a whole pool.

use briarrail_model::{MilliDuration, MilliTime};

use crate::count_ring::CountRing;
use crate::{BurnWindow, ObjectiveCounts, TimelinePoint, WindowCounts};

const MINUTE: MilliDuration = MilliDuration::from_secs(60);
const TEN_MINUTES: MilliDuration = MilliDuration::from_secs(600);
const HOUR: MilliDuration = MilliDuration::from_secs(3_600);
/// Each ring has one slot more than its longest window needs, because the newest slot is still
/// being filled.
const MINUTE_SLOTS: usize = 61;
const TEN_MINUTE_SLOTS: usize = 37;
const HOUR_SLOTS: usize = 73;

/// Counts at three resolutions, which together cover all windows.
#[derive(Debug, Clone)]
pub(crate) struct SeriesRecorder {
    last_request_at: MilliTime,
    minutes: CountRing,
    ten_minutes: CountRing,
    hours: CountRing,
}

impl SeriesRecorder {
    pub(crate) fn new(now: MilliTime) -> Self {
        Self {
            last_request_at: now,
            minutes: CountRing::new(MINUTE, MINUTE_SLOTS),
            ten_minutes: CountRing::new(TEN_MINUTES, TEN_MINUTE_SLOTS),
            hours: CountRing::new(HOUR, HOUR_SLOTS),
        }
    }

    pub(crate) fn add(&mut self, counts: ObjectiveCounts, now: MilliTime) {
        self.last_request_at = now;
        self.minutes.add(counts, now);
        self.ten_minutes.add(counts, now);
        self.hours.add(counts, now);
    }

    pub(crate) fn merge(&mut self, other: &Self) {
        self.last_request_at = self.last_request_at.max(other.last_request_at);
        self.minutes.merge(&other.minutes);
        self.ten_minutes.merge(&other.ten_minutes);
        self.hours.merge(&other.hours);
    }

    pub(crate) fn last_request_at(&self) -> MilliTime {
        self.last_request_at
    }

    pub(crate) fn windows(&self, now: MilliTime) -> Vec<WindowCounts> {
        let window_counts = |window: BurnWindow| WindowCounts {
            window,
            counts: self.ring(window).sum(window.length(), now),
        };
        BurnWindow::ALL.into_iter().map(window_counts).collect()
    }

    pub(crate) fn timeline(&self, now: MilliTime) -> Vec<TimelinePoint> {
        let slots = self
            .ten_minutes
            .slots_within(BurnWindow::SixHours.length(), now);
        let point = |(start_ms, counts)| TimelinePoint { start_ms, counts };
        slots.into_iter().map(point).collect()
    }

    /// Returns the ring with the finest resolution that covers a window.
    fn ring(&self, window: BurnWindow) -> &CountRing {
        match window {
            BurnWindow::FiveMinutes | BurnWindow::ThirtyMinutes | BurnWindow::OneHour => {
                &self.minutes
            }
            BurnWindow::SixHours => &self.ten_minutes,
            BurnWindow::ThreeDays => &self.hours,
        }
    }
}
