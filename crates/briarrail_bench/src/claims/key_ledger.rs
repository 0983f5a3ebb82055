//! The target's ledger: which key was sent how often.

use std::collections::HashMap;

/// Counts sends by key, less those that the target proved not run.
#[derive(Debug, Default)]
pub(crate) struct KeyLedger {
    sends: HashMap<String, u32>,
    doubled: u64,
}

impl KeyLedger {
    pub(crate) fn note_send(&mut self, key: &str) {
        let sends = self.sends.entry(key.to_owned()).or_default();
        *sends += 1;
        self.doubled += u64::from(*sends > 1);
    }

    pub(crate) fn note_refusal(&mut self, key: &str) {
        if let Some(sends) = self.sends.get_mut(key) {
            *sends -= 1;
        }
    }

    /// Returns the number of sends beyond the first of each key.
    pub(crate) const fn doubled(&self) -> u64 {
        self.doubled
    }
}
