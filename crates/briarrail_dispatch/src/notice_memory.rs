//! What targets said that are not listed at present.

use std::collections::VecDeque;

use briarrail_model::MilliTime;

use crate::{TargetLifetime, TargetStanding};

/// Maximum number of lifetimes that are remembered; far more than the targets of a site that leave
/// within the age of a copy of the store.
const MAX_LIFETIMES: usize = 1_024;

/// What targets said in their last lifetime, from when they were dropped until they are listed again.
///
/// Entries lapse while the store is down, and a restored store lists targets that have left; both
/// bring back a target that said that it leaves.
#[derive(Debug, Clone, Default)]
pub(crate) struct NoticeMemory {
    /// Oldest first.
    standings: VecDeque<(TargetLifetime, TargetStanding)>,
}

impl NoticeMemory {
    /// Keeps what a target said before it was dropped, and returns whether an older one was forgotten.
    pub(crate) fn keep(
        &mut self,
        lifetime: TargetLifetime,
        standing: TargetStanding,
        now: MilliTime,
    ) -> bool {
        if !standing.has_notice(now) {
            return false;
        }
        let is_full = self.standings.len() == MAX_LIFETIMES;
        if is_full {
            self.standings.pop_front();
        }
        self.standings.push_back((lifetime, standing));
        is_full
    }

    /// Takes back what a target said in a lifetime.
    pub(crate) fn take(&mut self, lifetime: TargetLifetime) -> Option<TargetStanding> {
        let is_sought = |(known, _): &(TargetLifetime, TargetStanding)| *known == lifetime;
        let index = self.standings.iter().position(is_sought)?;
        self.standings.remove(index).map(|(_, standing)| standing)
    }
}
