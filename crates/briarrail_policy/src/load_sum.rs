//! Sums and means of loads.

/// Running sum and count of loads, to compute their mean; loads are in streams.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LoadSum {
    count: u32,
    total: f32,
}

impl LoadSum {
    pub(crate) fn add(&mut self, load: f32) {
        self.count += 1;
        self.total += load;
    }

    /// Returns the mean, or 0 if no load was added.
    pub(crate) fn mean(&self) -> f32 {
        if self.count == 0 {
            0.0
        } else {
            self.total / self.count as f32
        }
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.count == 0
    }
}
