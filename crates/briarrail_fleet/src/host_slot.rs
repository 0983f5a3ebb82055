//! One host, as a router knows it.

use std::sync::Arc;

use briarrail_model::{HostEntry, HostPhase, StableHash};
use briarrail_peer::{HostNotice, NoticeState};

/// The phase of a host by the platform's list and the routers' evidence together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ViewPhase {
    /// The host takes new work.
    Live,
    /// The host finishes what it has.
    Leaving,
    /// The host could not be reached by two routers.
    Down,
}

/// One host with what the list and the notices say of it.
#[derive(Debug, Clone)]
pub(crate) struct HostSlot {
    pub(crate) entry: Arc<HostEntry>,
    pub(crate) hash: StableHash,
    /// Revision of the last change of any field.
    pub(crate) changed_at: u64,
    /// Revision of the last change of a field that a patch does not carry.
    pub(crate) shaped_at: u64,
    pub(crate) notice: HostNotice,
}

impl HostSlot {
    pub(crate) fn new(entry: Arc<HostEntry>, revision: u64) -> Self {
        let hash = entry.name.stable_hash();
        Self {
            entry,
            hash,
            changed_at: revision,
            shaped_at: revision,
            notice: HostNotice::default(),
        }
    }

    /// Returns the highest incarnation that is known.
    pub(crate) fn incarnation(&self) -> u64 {
        self.entry.incarnation.max(self.notice.incarnation)
    }

    /// Returns the notice, if it says more than the list and may differ between routers.
    pub(crate) fn telling_notice(&self) -> Option<HostNotice> {
        let notice = self.notice;
        let says_more = notice.state != NoticeState::Alive || notice.refutation > 0;
        (says_more && notice.incarnation >= self.entry.incarnation).then_some(notice)
    }

    /// Returns the phase; a notice counts unless the list shows a later incarnation.
    pub(crate) fn phase(&self) -> ViewPhase {
        let listed = match self.entry.phase {
            HostPhase::Live => ViewPhase::Live,
            HostPhase::Leaving => ViewPhase::Leaving,
        };
        if self.notice.incarnation < self.entry.incarnation {
            return listed;
        }
        match self.notice.state {
            NoticeState::Down => ViewPhase::Down,
            NoticeState::Leaving => ViewPhase::Leaving,
            NoticeState::Alive => listed,
        }
    }

    /// Takes over a listed entry and returns whether it differed.
    pub(crate) fn update(&mut self, entry: &Arc<HostEntry>, revision: u64) -> bool {
        // An equal entry may have differed in between, at revisions that peers hold.
        self.changed_at = revision;
        if *self.entry == **entry {
            return false;
        }
        let patched = HostEntry {
            phase: entry.phase,
            incarnation: entry.incarnation,
            ..(*self.entry).clone()
        };
        if patched != **entry {
            self.shaped_at = revision;
        }
        self.entry = Arc::clone(entry);
        true
    }
}
