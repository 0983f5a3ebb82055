//! Sum of values over a sliding window.

use std::collections::VecDeque;
use std::ops::Add;

use briarrail_model::{MilliDuration, MilliTime};

/// Time span of one bucket.
const BUCKET_WIDTH: MilliDuration = MilliDuration::from_millis(250);

/// Sums values over a sliding window, in buckets of 250 ms.
#[derive(Debug, Clone)]
pub(crate) struct SlidingWindow<V> {
    length: MilliDuration,
    buckets: VecDeque<(MilliTime, V)>,
}

impl<V> SlidingWindow<V>
where
    V: Copy + Default + Add<Output = V>,
{
    /// Creates an empty window.
    pub(crate) const fn new(length: MilliDuration) -> Self {
        Self {
            length,
            buckets: VecDeque::new(),
        }
    }

    /// Adds a value at the present time.
    pub(crate) fn add(&mut self, value: V, now: MilliTime) {
        let is_current = |&&mut (start, _): &&mut (MilliTime, V)| now.since(start) < BUCKET_WIDTH;
        match self.buckets.back_mut().filter(is_current) {
            Some((_, bucket)) => *bucket = *bucket + value,
            None => self.buckets.push_back((now, value)),
        }
        self.drop_expired(now);
    }

    /// Returns the sum over the window.
    pub(crate) fn sum(&mut self, now: MilliTime) -> V {
        self.drop_expired(now);
        let values = self.buckets.iter().map(|(_, value)| *value);
        values.fold(V::default(), V::add)
    }

    /// Discards all values.
    pub(crate) fn clear(&mut self) {
        self.buckets.clear();
    }

    fn drop_expired(&mut self, now: MilliTime) {
        while let Some(&(start, _)) = self.buckets.front() {
            if now.since(start) <= self.length {
                return;
            }
            self.buckets.pop_front();
        }
    }
}
