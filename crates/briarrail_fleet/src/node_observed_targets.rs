//! The choice of the targets whose load a router reads.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use briarrail_model::{HostName, MilliDuration, MilliTime, StableHash, hash_pair};

use crate::host_slot::HostSlot;
use crate::{EffectivePhase, FleetNode, FleetOutput};

/// Time after which a count that is not published again is forgotten.
const COUNT_TTL: MilliDuration = MilliDuration::from_secs(30);
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
        let interval_ms = reads * 1_000 / MAX_READS_PER_S;
        MilliDuration::from_millis(interval_ms.max(MIN_READ_INTERVAL_MS))
    }

    pub(crate) fn refresh_observed_targets(&mut self, now: MilliTime) {
        let generation = self.hosts.generation();
        if self.observed_hosts_generation == generation || now < self.observed_due {
            return;
        }
        self.observed_hosts_generation = generation;
        self.observed_due = now + OBSERVED_INTERVAL;
        let hosts = &self.hosts;
        self.loads.retain(|code, record| {
            hosts.key_by_code(code).is_some() || now.since(record.version) < COUNT_TTL
        });
        self.peer_sequences
            .retain(|name, _| hosts.key(name).is_some());
        let observed = self.choose_observed_targets();
        if *self.observed != *observed {
            self.observed = observed.into();
            self.outputs.push_back(FleetOutput::ObservedTargetsChanged);
        }
    }

    /// Returns the targets of which this router is the reader.
    ///
    /// A target is read from its own data centre, or from anywhere in the region when that data
    /// centre has no live router.
    fn choose_observed_targets(&self) -> Vec<HostName> {
        let routers: Vec<_> = self.live_routers().collect();
        let centres_with_routers: BTreeSet<_> =
            routers.iter().map(|slot| &slot.entry.data_centre).collect();
        let local_centre = &self.local_host.data_centre;
        let local_routers = routers
            .iter()
            .filter(|slot| slot.entry.data_centre == *local_centre);
        let local_routers: Vec<_> = local_routers.map(|slot| slot.hash).collect();
        let all_routers: Vec<_> = routers.iter().map(|slot| slot.hash).collect();
        let targets = self.hosts.slots().map(|(_, slot)| slot);
        let targets = targets.filter(|slot| {
            let is_target = slot.entry.service != self.local_host.service;
            is_target && slot.entry.region == self.local_host.region
        });
        let (local_targets, others): (Vec<_>, Vec<_>) =
            targets.partition(|slot| slot.entry.data_centre == *local_centre);
        let unserved_targets: Vec<_> = others
            .into_iter()
            .filter(|slot| !centres_with_routers.contains(&slot.entry.data_centre))
            .collect();
        let local_hash = self.local_host.name.stable_hash();
        let mut observed = assigned_targets(local_hash, &local_routers, &local_targets);
        observed.extend(assigned_targets(
            local_hash,
            &all_routers,
            &unserved_targets,
        ));
        observed
    }

    /// Returns the live routers of the region; without relays where there are enough others.
    fn live_routers(&self) -> impl Iterator<Item = &HostSlot> {
        let excludes_relays =
            self.ring.data_centre_len() >= self.settings.relays_per_data_centre * ROUTERS_PER_RELAY;
        let routers = self.hosts.slots().filter(move |(key, slot)| {
            let is_router = slot.entry.service == self.local_host.service;
            let is_excluded_relay = excludes_relays && self.ring.relay_rank(*key).is_some();
            let is_in_region = slot.entry.region == self.local_host.region;
            is_router && is_in_region && !is_excluded_relay && slot.phase() == EffectivePhase::Live
        });
        routers.map(|(_, slot)| slot)
    }
}

/// Assigns each target to the router with the highest score that has room, and returns those of
/// one router; no router gets over 5/4 of the mean, rounded up.
fn assigned_targets(
    local_hash: StableHash,
    routers: &[StableHash],
    targets: &[&HostSlot],
) -> Vec<HostName> {
    let Some(capacity) = (targets.len() * 5).checked_div(routers.len() * 4) else {
        return Vec::new();
    };
    let capacity = capacity + 1;
    let mut counts: BTreeMap<StableHash, usize> = BTreeMap::new();
    let mut assigned = Vec::new();
    let mut ranked: Vec<_> = targets.iter().collect();
    ranked.sort_unstable_by_key(|slot| slot.hash);
    for slot in ranked {
        let has_capacity =
            |hash: &StableHash| counts.get(hash).is_none_or(|&count| count < capacity);
        let candidates = routers.iter().copied().filter(has_capacity);
        let Some(reader) = candidates.min_by_key(|&hash| Reverse(hash_pair(slot.hash, hash)))
        else {
            continue;
        };
        *counts.entry(reader).or_default() += 1;
        if reader == local_hash {
            assigned.push(slot.entry.name.clone());
        }
    }
    assigned
}
