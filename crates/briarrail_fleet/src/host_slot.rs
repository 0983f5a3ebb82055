//! State of one host in the host table.

use std::sync::Arc;

use briarrail_model::{HostEntry, HostPhase, StableHash};
use briarrail_peer::{HostNotice, NoticeState};

use crate::EffectivePhase;

/// A host with its list entry and its latest notice.
#[derive(Debug, Clone)]
pub(crate) struct HostSlot {
    pub(crate) entry: Arc<HostEntry>,
    pub(crate) hash: StableHash,
    /// Revision of the last change to any field.
    pub(crate) changed_revision: u64,
    /// Revision of the last change to a field that a patch does not carry.
    pub(crate) replaced_revision: u64,
    pub(crate) notice: HostNotice,
}

impl HostSlot {
    pub(crate) fn new(entry: Arc<HostEntry>, revision: u64) -> Self {
        let hash = entry.name.stable_hash();
        Self {
            entry,
            hash,
            changed_revision: revision,
            replaced_revision: revision,
            notice: HostNotice::default(),
        }
    }

    /// Returns the highest known incarnation.
    pub(crate) fn incarnation(&self) -> u64 {
        self.entry.incarnation.max(self.notice.incarnation)
    }

    /// Returns the notice, unless the list outdates it or it is the default one.
    ///
    /// Only these notices may differ between routers.
    pub(crate) fn nontrivial_notice(&self) -> Option<HostNotice> {
        let notice = self.notice;
        let says_more = notice.state != NoticeState::Alive || notice.refutation > 0;
        (says_more && notice.incarnation >= self.entry.incarnation).then_some(notice)
    }

    /// Returns the phase; the notice applies unless the list shows a later incarnation.
    pub(crate) fn phase(&self) -> EffectivePhase {
        let listed = match self.entry.phase {
            HostPhase::Live => EffectivePhase::Live,
            HostPhase::Leaving => EffectivePhase::Leaving,
        };
        if self.notice.incarnation < self.entry.incarnation {
            return listed;
        }
        match self.notice.state {
            NoticeState::Down => EffectivePhase::Down,
            NoticeState::Leaving => EffectivePhase::Leaving,
            NoticeState::Alive => listed,
        }
    }

    /// Replaces the entry and returns whether it differed.
    pub(crate) fn update(&mut self, entry: &Arc<HostEntry>, revision: u64) -> bool {
        // An equal entry may have differed at a revision in between that peers hold.
        self.changed_revision = revision;
        if *self.entry == **entry {
            return false;
        }
        let patched = HostEntry {
            phase: entry.phase,
            incarnation: entry.incarnation,
            ..(*self.entry).clone()
        };
        if patched != **entry {
            self.replaced_revision = revision;
        }
        self.entry = Arc::clone(entry);
        true
    }
}
