//! The choice of the targets whose load a router reads.

use std::collections::BTreeSet;

use briarrail_model::{HostName, MilliDuration, MilliTime};
use briarrail_policy::best_candidate;

use crate::{FleetNode, FleetOutput, ViewPhase};

const OBSERVED_INTERVAL: MilliDuration = MilliDuration::from_millis(1_000);

impl FleetNode {
    pub(crate) fn refresh_observed(&mut self, now: MilliTime) {
        let generation = self.hosts.generation();
        if self.observed_generation == generation || now < self.observed_due {
            return;
        }
        self.observed_generation = generation;
        self.observed_due = now + OBSERVED_INTERVAL;
        let hosts = &self.hosts;
        self.loads.retain(|code| hosts.key_of(code).is_some());
        self.peer_sequences
            .retain(|name, _| hosts.key(name).is_some());
        let observed = self.choose_observed();
        if *self.observed != *observed {
            self.observed = observed.into();
            self.outputs.push_back(FleetOutput::ObservedChanged);
        }
    }

    /// Returns the targets for which this router scores highest among the live routers of the
    /// target's data centre, or of the region when that data centre has none.
    fn choose_observed(&self) -> Vec<HostName> {
        let routers: Vec<_> = self
            .hosts
            .slots()
            .filter(|(_, slot)| slot.entry.service == self.own.service)
            .filter(|(_, slot)| slot.phase() == ViewPhase::Live)
            .filter(|(_, slot)| slot.entry.region == self.own.region)
            .map(|(_, slot)| slot)
            .collect();
        let near: Vec<_> = routers
            .iter()
            .filter(|slot| slot.entry.data_centre == self.own.data_centre)
            .map(|slot| slot.hash)
            .collect();
        let staffed: BTreeSet<_> = routers.iter().map(|slot| &slot.entry.data_centre).collect();
        let all: Vec<_> = routers.iter().map(|slot| slot.hash).collect();
        let own_hash = self.own.name.stable_hash();
        let mut observed = Vec::new();
        for (_, slot) in self.hosts.slots() {
            let entry = &slot.entry;
            if entry.service == self.own.service || entry.region != self.own.region {
                continue;
            }
            let candidates = if entry.data_centre == self.own.data_centre {
                &near
            } else if staffed.contains(&entry.data_centre) {
                continue;
            } else {
                &all
            };
            let best = best_candidate(slot.hash, candidates.iter().copied());
            if best.is_some_and(|index| candidates[index] == own_hash) {
                observed.push(entry.name.clone());
            }
        }
        observed
    }
}
