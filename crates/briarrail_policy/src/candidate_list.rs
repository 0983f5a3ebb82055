//! Lists of candidate targets in order of preference.

use crate::TargetIndex;

const MAX_CANDIDATES: usize = 4;

/// Up to four targets to try, best first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CandidateList {
    targets: [TargetIndex; MAX_CANDIDATES],
    len: u8,
}

impl CandidateList {
    /// Returns the best target, or `None` if the list is empty.
    #[must_use]
    pub fn first(&self) -> Option<TargetIndex> {
        self.as_slice().first().copied()
    }

    /// Returns the targets, best first.
    #[must_use]
    pub fn as_slice(&self) -> &[TargetIndex] {
        &self.targets[..usize::from(self.len)]
    }

    /// Returns whether the list contains no target.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends a target unless it is already in the list or the list is full.
    pub(crate) fn push(&mut self, target: TargetIndex) {
        if self.as_slice().contains(&target) || self.is_full() {
            return;
        }
        self.targets[usize::from(self.len)] = target;
        self.len += 1;
    }

    pub(crate) const fn is_full(&self) -> bool {
        self.len as usize == MAX_CANDIDATES
    }
}
