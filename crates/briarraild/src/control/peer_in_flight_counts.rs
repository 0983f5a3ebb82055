//! Exchange of in-flight counts between the routers of a small fleet.

use std::collections::HashMap;

use briarrail_fleet::{EffectivePhase, FleetNode, FleetView};
use briarrail_model::{HostName, LoadRecord, MilliDuration, MilliTime, StableHash};
use briarrail_policy::PeerInFlight;

/// Time that a published count takes to reach the other routers.
const EXCHANGE_DELAY: MilliDuration = MilliDuration::from_secs(2);
/// Value of [`LoadRecord::keep_share`] for all chats.
const MAX_KEEP_SHARE: u8 = u8::MAX;

/// Publishes the in-flight counts of this router and sums those of the other routers.
#[derive(Debug)]
pub(crate) struct PeerInFlightCounts {
    local_hash: StableHash,
    published: HashMap<HostName, LoadRecord>,
}

impl PeerInFlightCounts {
    /// Creates the counts of a router that has published none.
    pub(crate) fn new(local_host: &HostName) -> Self {
        Self {
            local_hash: local_host.stable_hash(),
            published: HashMap::new(),
        }
    }

    /// Publishes the counts that are due, unless the fleet is too large to exchange them.
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
                keep_share: MAX_KEEP_SHARE,
            };
            if PeerInFlight::should_publish(self.published.get(name), &next) {
                fleet.publish_count(count_code(self.local_hash, name), &next);
                self.published.insert(name.clone(), next);
            }
        }
        self.published
            .retain(|name, _| view.targets.iter().any(|host| host.entry.name == *name));
    }

    /// Returns the sum of the other live routers' counts for a target.
    ///
    /// Returns `None` if the sum is incomplete or the fleet is too large to exchange counts.
    pub(crate) fn sum_for_target(
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
        let other_hashes = hashes.filter(|&hash| hash != self.local_hash);
        let records = other_hashes.map(|hash| fleet.count(count_code(hash, target)));
        PeerInFlight::sum(records, EXCHANGE_DELAY, now)
    }
}

/// Returns the code under which a router publishes its count for a target.
fn count_code(router: StableHash, target: &HostName) -> u32 {
    PeerInFlight::record_key(router, target.stable_hash()).0 as u32
}
