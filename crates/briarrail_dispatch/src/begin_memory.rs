//! Remembers when answers began here.

use std::collections::HashMap;

use briarrail_model::{MilliDuration, MilliTime, StableHash};

/// Time for which the start of an answer is remembered at least; several times the time between two
/// requests with a suspect that few share.
const MEMORY_TIME: MilliDuration = MilliDuration::from_secs(60);
/// Maximum number of suspects whose last start of an answer is remembered.
const MAX_SUSPECTS: usize = 4_096;

/// Times of the last answers that began, by suspect.
#[derive(Debug, Clone, Default)]
pub(crate) struct BeginMemory(HashMap<StableHash, MilliTime>);

impl BeginMemory {
    /// Records that an answer began.
    pub(crate) fn record(&mut self, suspect: StableHash, now: MilliTime) {
        self.0.insert(suspect, now);
        if self.0.len() <= MAX_SUSPECTS {
            return;
        }
        self.0.retain(|_, at| now.since(*at) < MEMORY_TIME);
        if self.0.len() > MAX_SUSPECTS {
            self.0.clear();
        }
    }

    /// Returns the time at which the last answer began, if it is remembered.
    pub(crate) fn begun_at(&self, suspect: StableHash) -> Option<MilliTime> {
        self.0.get(&suspect).copied()
    }
}
