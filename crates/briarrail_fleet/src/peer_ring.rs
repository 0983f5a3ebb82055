//! The order in which routers pass things on.

use std::collections::BTreeSet;

use briarrail_model::{HostEntry, StableHash, hash_pair};

use crate::host_slot::HostSlot;
use crate::{EffectivePhase, HostKey, HostTable};

const MAX_DISTANCES: u32 = 16;

/// The routers of a region and of a data centre in the order of their hashes, and the relays.
///
/// All routers with the same table compute the same rings.
#[derive(Debug, Clone, Default)]
pub struct PeerRing {
    region: Vec<HostKey>,
    region_index: usize,
    cell: Vec<HostKey>,
    cell_index: usize,
    relays: Vec<HostKey>,
}

impl PeerRing {
    /// Computes the rings of the router `own`; `suspects` are passed over as relays.
    #[must_use]
    pub fn new(
        table: &HostTable,
        own: &HostEntry,
        relay_count: usize,
        suspects: &BTreeSet<HostKey>,
    ) -> Self {
        let own_hash = own.name.stable_hash();
        let mut members = router_slots(table, own);
        members.sort_unstable_by_key(|(_, slot)| slot.hash);
        let in_cell = |slot: &HostSlot| slot.entry.data_centre == own.data_centre;
        let cell: Vec<_> = members
            .iter()
            .copied()
            .filter(|(_, slot)| in_cell(slot))
            .collect();
        let able = cell
            .iter()
            .copied()
            .filter(|(key, slot)| slot.phase() == EffectivePhase::Live && !suspects.contains(key));
        let relays = choose_relays(able.collect(), own.data_centre.stable_hash(), relay_count);
        let index_of =
            |ring: &[(HostKey, &HostSlot)]| ring.partition_point(|(_, slot)| slot.hash < own_hash);
        Self {
            region_index: index_of(&members),
            cell_index: index_of(&cell),
            region: keys(&members),
            cell: keys(&cell),
            relays,
        }
    }

    /// Returns the number of routers in the region's ring.
    #[must_use]
    pub fn region_len(&self) -> usize {
        self.region.len()
    }

    /// Returns the number of routers in the data centre's ring.
    #[must_use]
    pub fn cell_len(&self) -> usize {
        self.cell.len()
    }

    /// Returns the number of distances 1, 2, 4, ... that reach every router of the region.
    #[must_use]
    pub fn distance_count(&self) -> u32 {
        let others = self.region.len().saturating_sub(1) as u64;
        (u64::BITS - others.leading_zeros()).min(MAX_DISTANCES)
    }

    /// Returns a mask with one bit for each distance.
    #[must_use]
    pub fn distance_mask(&self) -> u16 {
        ((1_u32 << self.distance_count()) - 1) as u16
    }

    /// Returns the router at a distance in the region's ring.
    #[must_use]
    pub fn at_distance(&self, distance: usize) -> Option<HostKey> {
        at(&self.region, self.region_index + distance)
    }

    /// Returns the router at a distance in the data centre's ring.
    #[must_use]
    pub fn cell_at_distance(&self, distance: usize) -> Option<HostKey> {
        at(&self.cell, self.cell_index + distance)
    }

    /// Returns the rank of a router among the relays of the data centre.
    #[must_use]
    pub fn relay_rank(&self, key: HostKey) -> Option<usize> {
        self.relays.iter().position(|&relay| relay == key)
    }
}

fn at(ring: &[HostKey], index: usize) -> Option<HostKey> {
    let index = index.checked_rem(ring.len())?;
    ring.get(index).copied()
}

fn keys(ring: &[(HostKey, &HostSlot)]) -> Vec<HostKey> {
    ring.iter().map(|&(key, _)| key).collect()
}

fn router_slots<'a>(table: &'a HostTable, own: &HostEntry) -> Vec<(HostKey, &'a HostSlot)> {
    let is_member = |slot: &HostSlot| {
        let near = slot.entry.service == own.service && slot.entry.region == own.region;
        near && (slot.phase() != EffectivePhase::Down || slot.entry.name == own.name)
    };
    table.slots().filter(|(_, slot)| is_member(slot)).collect()
}

fn choose_relays(
    mut able: Vec<(HostKey, &HostSlot)>,
    seed: StableHash,
    count: usize,
) -> Vec<HostKey> {
    able.sort_unstable_by_key(|(_, slot)| std::cmp::Reverse(hash_pair(seed, slot.hash)));
    able.truncate(count);
    keys(&able)
}
