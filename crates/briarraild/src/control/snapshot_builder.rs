//! Snapshots for the traffic threads.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use briarrail_fleet::{EffectivePhase, FleetView};
use briarrail_model::{
    ConfigSnapshot, DataCentre, HostEntry, HostName, HostPhase, LoadRecord, MilliTime, PoolRow,
    RegionName, RouteIndex,
};
use briarrail_policy::{LoadTracker, PeerInFlight, PlacementSettings, RouterTopology, TargetInput};

use crate::state::{PoolEntry, PoolRuntime, RoutingSnapshot, TargetCounters, TargetEntry};

/// What a snapshot is built from.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SnapshotInputs<'a> {
    /// Tables in force.
    pub(crate) config: &'a Arc<ConfigSnapshot>,
    /// Routers and targets with their phases.
    pub(crate) view: &'a FleetView,
    /// What is known of the load of each target of the view, in its order.
    pub(crate) readings: &'a [TargetReading],
}

/// What is known of a target's load.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TargetReading {
    /// Latest load record.
    pub(crate) load: Option<LoadRecord>,
    /// Sum of the other routers' counts.
    pub(crate) peers: Option<PeerInFlight>,
}

/// State of a pool between two snapshots.
#[derive(Debug)]
struct PoolMemory {
    ledger: LoadTracker,
    runtime: Arc<PoolRuntime>,
}

/// Builds snapshots, and keeps what outlives them.
#[derive(Debug)]
pub(crate) struct SnapshotBuilder {
    data_centre: DataCentre,
    region: RegionName,
    counters: HashMap<HostName, Arc<TargetCounters>>,
    pools: HashMap<String, PoolMemory>,
    index: Arc<RouteIndex>,
    /// Configuration that the index was made of.
    indexed: Option<Arc<ConfigSnapshot>>,
}

impl SnapshotBuilder {
    /// Makes a builder for a router of a data centre.
    pub(crate) fn new(data_centre: DataCentre, region: RegionName) -> Self {
        Self {
            data_centre,
            region,
            counters: HashMap::new(),
            pools: HashMap::new(),
            index: Arc::default(),
            indexed: None,
        }
    }

    /// Returns the requests in flight to a target of some pool.
    pub(crate) fn in_flight(&self, target: &HostName) -> Option<u32> {
        self.counters
            .get(target)
            .map(|counters| counters.in_flight())
    }

    /// Builds a snapshot from what is known at `now`.
    pub(crate) fn build(
        &mut self,
        inputs: SnapshotInputs<'_>,
        is_ready: bool,
        now: MilliTime,
    ) -> RoutingSnapshot {
        self.forget_absent(inputs);
        let live = inputs
            .view
            .routers
            .iter()
            .filter(|router| router.phase == EffectivePhase::Live);
        let routers: Arc<[HostEntry]> = live.map(|router| (*router.entry).clone()).collect();
        let site = self.site(&routers);
        let rows = inputs.config.tables.pools.iter();
        let pools = rows.map(|row| {
            let entry = self.pool_entry(row, inputs, site, now);
            (row.name.clone(), Arc::new(entry))
        });
        let pools = pools.collect();
        RoutingSnapshot {
            config: Arc::clone(inputs.config),
            index: self.route_index(inputs.config),
            is_ready,
            pools,
            routers,
        }
    }

    /// Returns the index over the routes, made anew only when the tables have changed.
    fn route_index(&mut self, config: &Arc<ConfigSnapshot>) -> Arc<RouteIndex> {
        let is_kept = self
            .indexed
            .as_ref()
            .is_some_and(|kept| Arc::ptr_eq(kept, config));
        if !is_kept {
            self.index = Arc::new(RouteIndex::new(&config.tables));
            self.indexed = Some(Arc::clone(config));
        }
        Arc::clone(&self.index)
    }

    fn site(&self, routers: &[HostEntry]) -> RouterTopology {
        let near = routers.iter().filter(|router| router.region == self.region);
        RouterTopology {
            data_centre: self.data_centre.stable_hash(),
            region: self.region.stable_hash(),
            router_count: near.count().max(1) as u32,
        }
    }

    fn pool_entry(
        &mut self,
        row: &PoolRow,
        inputs: SnapshotInputs<'_>,
        site: RouterTopology,
        now: MilliTime,
    ) -> PoolEntry {
        let mut targets = Vec::new();
        let mut states = Vec::new();
        for (target, reading) in inputs.view.targets.iter().zip(inputs.readings) {
            let host = &*target.entry;
            if !row.targets.matches(host) {
                continue;
            }
            let counters = self.counters.entry(host.name.clone()).or_default();
            let mut state = TargetInput::from_host(host)
                .load(reading.load)
                .peer_in_flight(reading.peers)
                .in_flight(counters.in_flight());
            state.phase = placement_phase(target.phase);
            targets.push(TargetEntry::new(host, &state, Arc::clone(counters)));
            states.push(state);
        }
        let memory = self
            .pools
            .entry(row.name.clone())
            .or_insert_with(|| PoolMemory {
                ledger: LoadTracker::new(now),
                runtime: Arc::new(PoolRuntime::new(row.limits.max_wait_ms)),
            });
        let settings = PlacementSettings::from_pool(row).stream_time(memory.runtime.stream_time());
        let view = memory.ledger.refresh(&states, settings, site, now);
        memory.runtime.refresh(view.utilization(), now);
        let runtime = Arc::clone(&memory.runtime);
        PoolEntry {
            row: row.clone(),
            targets,
            view,
            runtime,
        }
    }

    /// Drops the state of pools and hosts that are gone and have no request in flight.
    fn forget_absent(&mut self, inputs: SnapshotInputs<'_>) {
        let present: BTreeSet<_> = inputs
            .view
            .targets
            .iter()
            .map(|target| &target.entry.name)
            .collect();
        self.counters
            .retain(|name, counters| present.contains(name) || counters.in_flight() > 0);
        self.pools
            .retain(|name, _| inputs.config.tables.pool(name).is_some());
    }
}

/// Targets that can't be reached take no new work, like leaving ones.
const fn placement_phase(phase: EffectivePhase) -> HostPhase {
    match phase {
        EffectivePhase::Live => HostPhase::Live,
        EffectivePhase::Leaving | EffectivePhase::Down => HostPhase::Leaving,
    }
}
