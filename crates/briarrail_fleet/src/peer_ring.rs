//! Ring order in which routers forward messages.

use std::collections::BTreeSet;

use briarrail_model::{HostEntry, StableHash, hash_pair};

use crate::host_slot::HostSlot;
use crate::{EffectivePhase, HostKey, HostTable};

/// Number of bits in a distance mask.
const MAX_DISTANCES: u32 = 16;

/// The routers of a region and of a data centre, ordered by hash, and the relays.
///
/// All routers with the same table compute the same rings.
#[derive(Debug, Clone, Default)]
pub struct PeerRing {
    region: Vec<HostKey>,
    region_index: usize,
    data_centre: Vec<HostKey>,
    data_centre_index: usize,
    relays: Vec<HostKey>,
}

impl PeerRing {
    /// Computes the rings of the router `local_host`; `suspects` are not chosen as relays.
    #[must_use]
    pub fn new(
        table: &HostTable,
        local_host: &HostEntry,
        relay_count: usize,
        suspects: &BTreeSet<HostKey>,
    ) -> Self {
        let local_hash = local_host.name.stable_hash();
        let mut members = router_slots(table, local_host);
        members.sort_unstable_by_key(|(_, slot)| slot.hash);
        let is_in_data_centre = |slot: &HostSlot| slot.entry.data_centre == local_host.data_centre;
        let data_centre: Vec<_> = members
            .iter()
            .copied()
            .filter(|(_, slot)| is_in_data_centre(slot))
            .collect();
        let candidates = data_centre
            .iter()
            .copied()
            .filter(|(key, slot)| slot.phase() == EffectivePhase::Live && !suspects.contains(key));
        let relays = choose_relays(
            candidates.collect(),
            local_host.data_centre.stable_hash(),
            relay_count,
        );
        let index_of = |ring: &[(HostKey, &HostSlot)]| {
            ring.partition_point(|(_, slot)| slot.hash < local_hash)
        };
        Self {
            region_index: index_of(&members),
            data_centre_index: index_of(&data_centre),
            region: host_keys(&members),
            data_centre: host_keys(&data_centre),
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
    pub fn data_centre_len(&self) -> usize {
        self.data_centre.len()
    }

    /// Returns how many of the distances 1, 2, 4, ... reach every router of the region.
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

    /// Returns the router at a distance from this one in the region's ring.
    #[must_use]
    pub fn at_distance(&self, distance: usize) -> Option<HostKey> {
        member_at(&self.region, self.region_index + distance)
    }

    /// Returns the router at a distance from this one in the data centre's ring.
    #[must_use]
    pub fn data_centre_at_distance(&self, distance: usize) -> Option<HostKey> {
        member_at(&self.data_centre, self.data_centre_index + distance)
    }

    /// Returns the rank of a router among the relays of the data centre.
    #[must_use]
    pub fn relay_rank(&self, key: HostKey) -> Option<usize> {
        self.relays.iter().position(|&relay| relay == key)
    }
}

fn member_at(ring: &[HostKey], index: usize) -> Option<HostKey> {
    let index = index.checked_rem(ring.len())?;
    ring.get(index).copied()
}

fn host_keys(ring: &[(HostKey, &HostSlot)]) -> Vec<HostKey> {
    ring.iter().map(|&(key, _)| key).collect()
}

fn router_slots<'a>(table: &'a HostTable, local_host: &HostEntry) -> Vec<(HostKey, &'a HostSlot)> {
    let is_member = |slot: &HostSlot| {
        let is_regional_router =
            slot.entry.service == local_host.service && slot.entry.region == local_host.region;
        is_regional_router
            && (slot.phase() != EffectivePhase::Down || slot.entry.name == local_host.name)
    };
    table.slots().filter(|(_, slot)| is_member(slot)).collect()
}

fn choose_relays(
    mut candidates: Vec<(HostKey, &HostSlot)>,
    seed: StableHash,
    count: usize,
) -> Vec<HostKey> {
    candidates.sort_unstable_by_key(|(_, slot)| std::cmp::Reverse(hash_pair(seed, slot.hash)));
    candidates.truncate(count);
    host_keys(&candidates)
}
