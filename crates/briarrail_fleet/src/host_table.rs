//! Table of the hosts that a router knows.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use briarrail_model::{HostEntry, HostName, RegionName, hash_bytes};
use briarrail_peer::{HostListUpdate, HostNotice, HostPatch, NoticeItem};
use bytes::BytesMut;
use slotmap::{SlotMap, new_key_type};

use crate::host_slot::HostSlot;
use crate::{EffectivePhase, HostChange};

/// Removals kept for peers that hold an older list.
const MAX_TOMBSTONES: usize = 4_096;

new_key_type! {
    /// Identifies a host in a [`HostTable`].
    pub struct HostKey;
}

/// Returns the 32-bit hash that identifies a host in frames.
#[must_use]
pub fn host_code(name: &HostName) -> u32 {
    name.stable_hash().0 as u32
}

/// The hosts of a router's region, with the changes that peers may ask for.
///
/// Hosts are looked up by name or by their [`host_code`].
#[derive(Debug)]
pub struct HostTable {
    region: RegionName,
    slots: SlotMap<HostKey, HostSlot>,
    codes: BTreeMap<u32, HostKey>,
    tombstones: VecDeque<(u64, HostName)>,
    revision: u64,
    /// Revision of the last change to a host of the region.
    region_revision: u64,
    /// Revision after which all changes are known; `u64::MAX` before the first list.
    history_start: u64,
    generation: u64,
}

impl HostTable {
    /// Creates an empty table for a router of the given region.
    #[must_use]
    pub fn new(region: RegionName) -> Self {
        Self {
            region,
            slots: SlotMap::with_key(),
            codes: BTreeMap::new(),
            tombstones: VecDeque::new(),
            revision: 0,
            region_revision: 0,
            history_start: u64::MAX,
            generation: 0,
        }
    }

    /// Returns the revision of the host list in the table; 0 before the first one.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision of the last change to a host of the region.
    ///
    /// Routers compare this revision, so that changes in other regions cause no traffic.
    #[must_use]
    pub fn region_revision(&self) -> u64 {
        self.region_revision
    }

    /// Returns the revision to advertise to peers.
    ///
    /// It is 0 until a change follows the full list, because the last change of the region may be
    /// older than that list.
    #[must_use]
    pub fn advertised_revision(&self) -> u64 {
        if self.is_loaded() && self.region_revision > self.history_start {
            self.region_revision
        } else {
            0
        }
    }

    /// Returns whether a full list has been read.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.history_start != u64::MAX
    }

    /// Returns a counter that increases with each change to the table.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the key of the host with the given code.
    #[must_use]
    pub fn key_by_code(&self, code: u32) -> Option<HostKey> {
        self.codes.get(&code).copied()
    }

    /// Returns the key of the host with the given name.
    #[must_use]
    pub fn key(&self, name: &HostName) -> Option<HostKey> {
        let key = self.key_by_code(host_code(name))?;
        (self.slots[key].entry.name == *name).then_some(key)
    }

    /// Returns the entry of a host.
    #[must_use]
    pub fn entry(&self, key: HostKey) -> Option<&Arc<HostEntry>> {
        self.slots.get(key).map(|slot| &slot.entry)
    }

    /// Returns the phase of a host.
    #[must_use]
    pub fn phase(&self, key: HostKey) -> Option<EffectivePhase> {
        self.slots.get(key).map(HostSlot::phase)
    }

    pub(crate) fn slot(&self, key: HostKey) -> Option<&HostSlot> {
        self.slots.get(key)
    }

    pub(crate) fn slots(&self) -> impl Iterator<Item = (HostKey, &HostSlot)> {
        let keys = self.codes.values();
        keys.filter_map(|&key| self.slots.get(key).map(|slot| (key, slot)))
    }

    /// Applies changes and returns whether they were applied.
    ///
    /// Changes that start after the table's revision are rejected, and stale ones have no effect.
    /// Hosts for which `keep` returns false are skipped.
    pub fn apply<K>(&mut self, change: &HostChange, keep: K) -> bool
    where
        K: Fn(&HostEntry) -> bool,
    {
        if change.full {
            return self.replace(change, keep);
        }
        let is_contiguous = self.is_loaded() && change.since <= self.revision;
        if !is_contiguous || change.revision <= self.revision {
            return false;
        }
        for entry in change.upserts.iter().filter(|entry| keep(entry)) {
            self.upsert(entry, change.revision);
        }
        for name in &change.removed {
            self.remove(name, change.revision);
        }
        self.revision = change.revision;
        true
    }

    fn replace<K>(&mut self, change: &HostChange, keep: K) -> bool
    where
        K: Fn(&HostEntry) -> bool,
    {
        let mut missing: BTreeMap<HostName, ()> = BTreeMap::new();
        for (_, slot) in self.slots() {
            missing.insert(slot.entry.name.clone(), ());
        }
        for entry in change.upserts.iter().filter(|entry| keep(entry)) {
            missing.remove(&entry.name);
            self.upsert(entry, change.revision);
        }
        for name in missing.keys() {
            self.remove(name, change.revision);
        }
        if !self.is_loaded() || change.revision < self.revision {
            self.history_start = change.revision;
        }
        self.revision = change.revision;
        self.region_revision = change.revision;
        self.generation += 1;
        true
    }

    fn upsert(&mut self, entry: &Arc<HostEntry>, revision: u64) {
        if entry.region == self.region {
            self.region_revision = revision;
        }
        let code = host_code(&entry.name);
        let Some(&key) = self.codes.get(&code) else {
            let slot = HostSlot::new(Arc::clone(entry), revision);
            let key = self.slots.insert(slot);
            self.codes.insert(code, key);
            self.generation += 1;
            return;
        };
        // Frames cannot distinguish two names with the same code; the first one keeps it.
        if self.slots[key].entry.name != entry.name {
            return;
        }
        if self.slots[key].update(entry, revision) {
            self.generation += 1;
        }
    }

    fn remove(&mut self, name: &HostName, revision: u64) {
        // The removal of an unknown host is recorded too, because peers may hold that host.
        if let Some(key) = self.key(name) {
            self.slots.remove(key);
            self.codes.remove(&host_code(name));
            self.region_revision = revision;
            self.generation += 1;
        }
        self.tombstones.push_back((revision, name.clone()));
        if self.tombstones.len() > MAX_TOMBSTONES {
            let oldest = self.tombstones.pop_front();
            let (revision, _) = oldest.expect("the queue is not empty");
            self.history_start = self.history_start.max(revision);
        }
    }

    /// Applies a part of another router's table and returns whether this table advanced.
    ///
    /// A part with a patch that does not apply is rejected as a whole.
    pub fn apply_part(&mut self, part: &HostListUpdate) -> bool {
        let patched = part.patches.iter().map(|patch| self.patched_entry(patch));
        let Some(patched) = patched.collect::<Option<Vec<_>>>() else {
            return false;
        };
        let upserts = part.upserts.iter().cloned().map(Arc::new);
        let change = HostChange {
            since: part.base_revision,
            revision: part.revision,
            full: false,
            upserts: upserts.chain(patched).collect(),
            removed: part.removed.clone(),
        };
        self.apply(&change, |_| true)
    }

    fn patched_entry(&self, patch: &HostPatch) -> Option<Arc<HostEntry>> {
        let key = self.key_by_code(patch.host)?;
        patch.apply_to(&self.slots[key].entry).map(Arc::new)
    }

    /// Returns the changes of the router's region after a revision, if all of them are known.
    #[must_use]
    pub fn part_since(&self, since: u64) -> Option<HostListUpdate> {
        if !self.is_loaded() || since < self.history_start || since >= self.region_revision {
            return None;
        }
        let mut part = HostListUpdate {
            base_revision: since,
            revision: self.revision,
            ..HostListUpdate::default()
        };
        for (_, slot) in self.slots() {
            self.add_change(&mut part, slot);
        }
        let removed = self
            .tombstones
            .iter()
            .filter(|(revision, _)| *revision > since);
        let removed = removed.map(|(_, name)| name.clone());
        part.removed = removed.filter(|name| self.key(name).is_none()).collect();
        Some(part)
    }

    fn add_change(&self, part: &mut HostListUpdate, slot: &HostSlot) {
        if slot.changed_revision <= part.base_revision || slot.entry.region != self.region {
            return;
        }
        if slot.replaced_revision > part.base_revision {
            part.upserts.push((*slot.entry).clone());
            return;
        }
        part.patches.push(HostPatch::new(&slot.entry));
    }

    /// Stores a notice and returns whether it supersedes the stored one.
    pub fn apply_notice(&mut self, key: HostKey, notice: HostNotice) -> bool {
        let Some(slot) = self.slots.get_mut(key) else {
            return false;
        };
        if notice <= slot.notice || notice.incarnation < slot.entry.incarnation {
            return false;
        }
        let before = (slot.phase(), slot.nontrivial_notice());
        slot.notice = notice;
        if before != (slot.phase(), slot.nontrivial_notice()) {
            self.generation += 1;
        }
        true
    }

    /// Returns all notices that differ from the list, with no ring distances pending.
    pub(crate) fn notice_items(&self) -> impl Iterator<Item = NoticeItem> + '_ {
        self.slots().filter_map(|(_, slot)| {
            let notice = slot.nontrivial_notice()?;
            let host = slot.hash.0 as u32;
            Some(NoticeItem {
                host,
                distance_mask: 0,
                notice,
            })
        })
    }

    /// Returns an order-independent hash of the notices.
    pub(crate) fn notice_digest(&self) -> u32 {
        let hashes = self.notice_items().map(|item| {
            let mut packed = BytesMut::with_capacity(NoticeItem::PACKED_BYTES);
            item.pack(&mut packed);
            hash_bytes(&packed).0 as u32
        });
        hashes.fold(0, |digest, hash| digest ^ hash)
    }
}
