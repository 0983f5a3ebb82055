//! The choice of the targets whose load a router reads.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use briarrail_model::{HostName, MilliDuration, MilliTime, StableHash, hash_pair};

use crate::host_slot::HostSlot;
use crate::{EffectivePhase, FleetNode, FleetOutput};

/// Time after which a count that is not published again is forgotten.
const COUNT_LIFETIME: MilliDuration = MilliDuration::from_secs(30);
const OBSERVED_INTERVAL: MilliDuration = MilliDuration::from_millis(1_000);
/// Shortest time between two reads of one target's load.
const MIN_READ_INTERVAL_MS: u64 = 1_000;
/// Reads of loads that a router makes in a second, at most.
const MAX_READS_PER_S: u64 = 2;
/// Routers for each relay from which on relays read no loads.
const ROUTERS_PER_RELAY: usize = 3;

impl FleetNode {
    /// Returns the time between two reads of one target's load.
    #[must_use]
    pub fn load_interval(&self) -> MilliDuration {
        let reads = self.observed.len() as u64;
        let spread = reads * 1_000 / MAX_READS_PER_S;
        MilliDuration::from_millis(spread.max(MIN_READ_INTERVAL_MS))
    }

    pub(crate) fn refresh_observed(&mut self, now: MilliTime) {
        let generation = self.hosts.generation();
        if self.observed_generation == generation || now < self.observed_due {
            return;
        }
        self.observed_generation = generation;
        self.observed_due = now + OBSERVED_INTERVAL;
        let hosts = &self.hosts;
        self.loads.retain(|code, record| {
            hosts.key_of(code).is_some() || now.since(record.version) < COUNT_LIFETIME
        });
        self.peer_sequences
            .retain(|name, _| hosts.key(name).is_some());
        let observed = self.choose_observed();
        if *self.observed != *observed {
            self.observed = observed.into();
            self.outputs.push_back(FleetOutput::ObservedChanged);
        }
    }

    /// Returns the targets of which this router is the reader.
    ///
    /// A target is read from its own data centre, or from anywhere in the region when that data
    /// centre has no live router.
    fn choose_observed(&self) -> Vec<HostName> {
        let routers: Vec<_> = self.live_routers().collect();
        let staffed: BTreeSet<_> = routers.iter().map(|slot| &slot.entry.data_centre).collect();
        let own_centre = &self.own.data_centre;
        let near = routers
            .iter()
            .filter(|slot| slot.entry.data_centre == *own_centre);
        let near: Vec<_> = near.map(|slot| slot.hash).collect();
        let all: Vec<_> = routers.iter().map(|slot| slot.hash).collect();
        let targets = self.hosts.slots().map(|(_, slot)| slot);
        let targets = targets.filter(|slot| {
            let is_target = slot.entry.service != self.own.service;
            is_target && slot.entry.region == self.own.region
        });
        let (own_targets, others): (Vec<_>, Vec<_>) =
            targets.partition(|slot| slot.entry.data_centre == *own_centre);
        let orphans: Vec<_> = others
            .into_iter()
            .filter(|slot| !staffed.contains(&slot.entry.data_centre))
            .collect();
        let own_hash = self.own.name.stable_hash();
        let mut observed = assigned_to(own_hash, &near, &own_targets);
        observed.extend(assigned_to(own_hash, &all, &orphans));
        observed
    }

    /// Returns the live routers of the region; without relays where there are enough others.
    fn live_routers(&self) -> impl Iterator<Item = &HostSlot> {
        let spares_relays =
            self.ring.cell_len() >= self.settings.relays_per_data_centre * ROUTERS_PER_RELAY;
        let routers = self.hosts.slots().filter(move |(key, slot)| {
            let is_router = slot.entry.service == self.own.service;
            let is_busy = spares_relays && self.ring.relay_rank(*key).is_some();
            let is_near = slot.entry.region == self.own.region;
            is_router && is_near && !is_busy && slot.phase() == EffectivePhase::Live
        });
        routers.map(|(_, slot)| slot)
    }
}

/// Assigns each target to the router with the highest score that has room, and returns those of
/// one router; no router gets over 5/4 of the mean, rounded up.
fn assigned_to(own: StableHash, routers: &[StableHash], targets: &[&HostSlot]) -> Vec<HostName> {
    let Some(room) = (targets.len() * 5).checked_div(routers.len() * 4) else {
        return Vec::new();
    };
    let room = room + 1;
    let mut counts: BTreeMap<StableHash, usize> = BTreeMap::new();
    let mut mine = Vec::new();
    let mut ranked: Vec<_> = targets.iter().collect();
    ranked.sort_unstable_by_key(|slot| slot.hash);
    for slot in ranked {
        let has_room = |hash: &StableHash| counts.get(hash).is_none_or(|&count| count < room);
        let able = routers.iter().copied().filter(has_room);
        let Some(reader) = able.min_by_key(|&hash| Reverse(hash_pair(slot.hash, hash))) else {
            continue;
        };
        *counts.entry(reader).or_default() += 1;
        if reader == own {
            mine.push(slot.entry.name.clone());
        }
    }
    mine
}
