//! Detection of duplicate sends to the target.

use std::collections::HashMap;

/// Counts sends per key, except those that the target refused and thus did not run.
#[derive(Debug, Default)]
pub(crate) struct SendTracker {
    sends: HashMap<String, u32>,
    doubled: u64,
}

impl SendTracker {
    pub(crate) fn record_send(&mut self, key: &str) {
        let sends = self.sends.entry(key.to_owned()).or_default();
        *sends += 1;
        self.doubled += u64::from(*sends > 1);
    }

    pub(crate) fn record_refusal(&mut self, key: &str) {
        if let Some(sends) = self.sends.get_mut(key) {
            *sends -= 1;
        }
    }

    /// Returns the number of sends beyond the first of each key.
    pub(crate) const fn duplicate_sends(&self) -> u64 {
        self.doubled
    }
}
