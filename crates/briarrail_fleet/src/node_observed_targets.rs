//! Assignment of targets to the routers that read their load.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use briarrail_model::{HostName, MilliDuration, MilliTime, StableHash, hash_pair};

use crate::host_slot::HostSlot;
use crate::{EffectivePhase, FleetNode, FleetOutput};

/// Age at which a record whose code belongs to no known host, such as a count, is dropped.
const COUNT_TTL: MilliDuration = MilliDuration::from_secs(30);
/// Minimum time between two reassignments.
const OBSERVED_INTERVAL: MilliDuration = MilliDuration::from_millis(1_000);
/// Minimum time between two reads of one target's load.
const MIN_READ_INTERVAL_MS: u64 = 1_000;
/// Maximum number of load reads per second and router.
const MAX_READS_PER_S: u64 = 2;
/// Routers per relay at which the relays no longer read loads.
const ROUTERS_PER_RELAY: usize = 3;

impl FleetNode {
    /// Returns the interval at which one target's load is read.
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

    /// Returns the targets whose load this router is to read.
    ///
    /// A target is read by a router of its data centre, or by any router of the region when that
    /// data centre has no live router.
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

    /// Returns the live routers of the region, without relays if there are enough other routers.
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

/// Assigns targets by rendezvous hashing with bounded load, and returns those of one router.
///
/// A router gets at most 5/4 of the mean, rounded down, plus one. Each target goes to the router
/// with the highest hash among those with capacity left.
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
