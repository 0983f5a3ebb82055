//! In-flight counts that the routers of a small fleet tell each other.

use std::collections::HashMap;

use briarrail_fleet::{EffectivePhase, FleetNode, FleetView};
use briarrail_model::{HostName, LoadRecord, MilliDuration, MilliTime, StableHash};
use briarrail_policy::PeerInFlight;

/// Time in which a published count reaches the other routers.
const EXCHANGE_DELAY: MilliDuration = MilliDuration::from_secs(2);
const FULL_SHARE: u8 = u8::MAX;

/// Publishes this router's counts and adds up those of the others.
#[derive(Debug)]
pub(crate) struct PeerCounts {
    own: StableHash,
    published: HashMap<HostName, LoadRecord>,
}

impl PeerCounts {
    /// Makes the counts of a router.
    pub(crate) fn new(own: &HostName) -> Self {
        Self {
            own: own.stable_hash(),
            published: HashMap::new(),
        }
    }

    /// Publishes the counts that are due, in a fleet that is small enough for it.
    pub(crate) fn publish<C>(
        &mut self,
        fleet: &mut FleetNode,
        view: &FleetView,
        in_flight: C,
        now: MilliTime,
    ) where
        C: Fn(&HostName) -> Option<u32>,
    {
        if !PeerInFlight::is_enabled_for(view.routers.len(), view.targets.len()) {
            self.published.clear();
            return;
        }
        for target in &view.targets {
            let name = &target.entry.name;
            let Some(streams) = in_flight(name) else {
                continue;
            };
            let next = LoadRecord {
                version: now,
                streams,
                keep_share: FULL_SHARE,
            };
            if PeerInFlight::should_publish(self.published.get(name), &next) {
                fleet.publish_count(count_code(self.own, name), &next);
                self.published.insert(name.clone(), next);
            }
        }
        self.published
            .retain(|name, _| view.targets.iter().any(|host| host.entry.name == *name));
    }

    /// Returns the sum of the other live routers' counts of a target, if it is complete.
    pub(crate) fn of_target(
        &self,
        fleet: &FleetNode,
        view: &FleetView,
        target: &HostName,
        now: MilliTime,
    ) -> Option<PeerInFlight> {
        if !PeerInFlight::is_enabled_for(view.routers.len(), view.targets.len()) {
            return None;
        }
        let live = view
            .routers
            .iter()
            .filter(|router| router.phase == EffectivePhase::Live);
        let hashes = live.map(|router| router.entry.name.stable_hash());
        let others = hashes.filter(|&hash| hash != self.own);
        let records = others.map(|hash| fleet.count(count_code(hash, target)));
        PeerInFlight::sum(records, EXCHANGE_DELAY, now)
    }
}

/// Returns the code under which a router's count of a target travels.
fn count_code(router: StableHash, target: &HostName) -> u32 {
    PeerInFlight::record_key(router, target.stable_hash()).0 as u32
}
