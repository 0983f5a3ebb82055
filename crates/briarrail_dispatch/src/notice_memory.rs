//! What targets said that are not listed at present.

use std::num::NonZeroUsize;

use briarrail_model::MilliTime;
use lru::LruCache;

use crate::run_notices::RunNotices;
use crate::{LimitStatement, TargetPlace};

/// Maximum number of targets that are remembered; more than the engines of the largest sites, all of
/// which may leave within the age of a copy of the store.
const MAX_TARGETS: NonZeroUsize = NonZeroUsize::new(16_384).unwrap();

/// What a target said before it was listed no more.
#[derive(Debug, Clone, Default)]
pub(crate) struct RememberedTarget {
    pub(crate) id: String,
    pub(crate) runs: RunNotices,
    /// The last statement of its rate limit.
    pub(crate) limit: Option<LimitStatement>,
    /// The latest end of its cold time that its answers or its entry named.
    pub(crate) cold_until: Option<MilliTime>,
}

impl RememberedTarget {
    fn is_worth_keeping(&self, now: MilliTime) -> bool {
        let is_cold = self.cold_until.is_some_and(|until| until > now);
        self.limit.is_some() || is_cold || self.runs.of_any().has_any(now)
    }
}

/// What targets said, from when they were dropped until they are listed again.
///
/// Entries lapse while the store is down, and a restored store lists targets that have left; both
/// bring back a target that said something about itself.
#[derive(Debug)]
pub(crate) struct NoticeMemory {
    targets: LruCache<TargetPlace, RememberedTarget>,
}

impl Default for NoticeMemory {
    fn default() -> Self {
        Self {
            // Grows with its content, up to the maximum.
            targets: LruCache::unbounded(),
        }
    }
}

impl NoticeMemory {
    /// Keeps what a target said before it was dropped, and returns an older one that gives way to it.
    pub(crate) fn keep(
        &mut self,
        place: TargetPlace,
        target: RememberedTarget,
        now: MilliTime,
    ) -> Option<RememberedTarget> {
        if !target.is_worth_keeping(now) {
            return None;
        }
        self.targets.put(place, target);
        let is_over = self.targets.len() > MAX_TARGETS.get();
        is_over
            .then(|| self.targets.pop_lru())?
            .map(|(_, target)| target)
    }

    /// Takes back what a target said.
    pub(crate) fn take(&mut self, place: TargetPlace) -> Option<RememberedTarget> {
        self.targets.pop(&place)
    }
}
