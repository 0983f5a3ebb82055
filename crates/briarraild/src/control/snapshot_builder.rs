//! Building of routing snapshots for the traffic threads.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use briarrail_fleet::{EffectivePhase, FleetView};
use briarrail_model::{
    ConfigSnapshot, DataCentre, HostEntry, HostName, HostPhase, LoadRecord, MilliTime, PoolRow,
    RegionName, RouteIndex,
};
use briarrail_policy::{LoadTracker, PeerInFlight, PlacementSettings, RouterTopology, TargetInput};

use crate::state::{PoolEntry, PoolRuntime, RoutingSnapshot, TargetCounters, TargetEntry};

/// Inputs of [`SnapshotBuilder::build`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct SnapshotInputs<'a> {
    /// Configuration in force.
    pub(crate) config: &'a Arc<ConfigSnapshot>,
    /// Routers and targets and their phases.
    pub(crate) view: &'a FleetView,
    /// Known load of each target, in the order of `view.targets`.
    pub(crate) target_loads: &'a [TargetLoad],
}

/// Known load of a target.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TargetLoad {
    /// Latest load record.
    pub(crate) record: Option<LoadRecord>,
    /// Sum of the other routers' requests in flight.
    pub(crate) peer_in_flight: Option<PeerInFlight>,
}

/// State of a pool that is kept from one snapshot to the next.
#[derive(Debug)]
struct PoolState {
    tracker: LoadTracker,
    runtime: Arc<PoolRuntime>,
}

/// Builds routing snapshots and keeps the counters, pool state and route index between them.
#[derive(Debug)]
pub(crate) struct SnapshotBuilder {
    data_centre: DataCentre,
    region: RegionName,
    counters: HashMap<HostName, Arc<TargetCounters>>,
    pools: HashMap<String, PoolState>,
    route_index: Arc<RouteIndex>,
    /// Configuration that the route index was built from.
    indexed_config: Option<Arc<ConfigSnapshot>>,
}

impl SnapshotBuilder {
    /// Creates a builder for a router in a data centre and region.
    pub(crate) fn new(data_centre: DataCentre, region: RegionName) -> Self {
        Self {
            data_centre,
            region,
            counters: HashMap::new(),
            pools: HashMap::new(),
            route_index: Arc::default(),
            indexed_config: None,
        }
    }

    /// Returns this router's requests in flight to a target, if a pool has used the target.
    pub(crate) fn in_flight(&self, target: &HostName) -> Option<u32> {
        self.counters
            .get(target)
            .map(|counters| counters.in_flight())
    }

    /// Builds the snapshot at time `now`.
    pub(crate) fn build(
        &mut self,
        inputs: SnapshotInputs<'_>,
        is_ready: bool,
        now: MilliTime,
    ) -> RoutingSnapshot {
        self.remove_absent(inputs);
        let live = inputs
            .view
            .routers
            .iter()
            .filter(|router| router.phase == EffectivePhase::Live);
        let routers: Arc<[HostEntry]> = live.map(|router| (*router.entry).clone()).collect();
        let topology = self.topology(&routers);
        let rows = inputs.config.tables.pools.iter();
        let pools = rows.map(|row| {
            let entry = self.pool_entry(row, inputs, topology, now);
            (row.name.clone(), Arc::new(entry))
        });
        let pools = pools.collect();
        RoutingSnapshot {
            config: Arc::clone(inputs.config),
            route_index: self.route_index(inputs.config),
            is_ready,
            pools,
            routers,
        }
    }

    /// Returns the route index, which is rebuilt only when the configuration has changed.
    fn route_index(&mut self, config: &Arc<ConfigSnapshot>) -> Arc<RouteIndex> {
        let is_current = self
            .indexed_config
            .as_ref()
            .is_some_and(|indexed| Arc::ptr_eq(indexed, config));
        if !is_current {
            self.route_index = Arc::new(RouteIndex::new(&config.tables));
            self.indexed_config = Some(Arc::clone(config));
        }
        Arc::clone(&self.route_index)
    }

    fn topology(&self, routers: &[HostEntry]) -> RouterTopology {
        let in_region = routers.iter().filter(|router| router.region == self.region);
        RouterTopology {
            data_centre: self.data_centre.stable_hash(),
            region: self.region.stable_hash(),
            router_count: in_region.count().max(1) as u32,
        }
    }

    fn pool_entry(
        &mut self,
        row: &PoolRow,
        inputs: SnapshotInputs<'_>,
        topology: RouterTopology,
        now: MilliTime,
    ) -> PoolEntry {
        let mut targets = Vec::new();
        let mut target_inputs = Vec::new();
        for (target, known_load) in inputs.view.targets.iter().zip(inputs.target_loads) {
            let host = &*target.entry;
            if !row.targets.matches(host) {
                continue;
            }
            let counters = self.counters.entry(host.name.clone()).or_default();
            let mut target_input = TargetInput::from_host(host)
                .load(known_load.record)
                .peer_in_flight(known_load.peer_in_flight)
                .in_flight(counters.in_flight());
            target_input.phase = placement_phase(target.phase);
            targets.push(TargetEntry::new(host, &target_input, Arc::clone(counters)));
            target_inputs.push(target_input);
        }
        let state = self
            .pools
            .entry(row.name.clone())
            .or_insert_with(|| PoolState {
                tracker: LoadTracker::new(now),
                runtime: Arc::new(PoolRuntime::new(row.limits.max_wait_ms)),
            });
        let settings = PlacementSettings::from_pool(row).stream_time(state.runtime.stream_time());
        let view = state
            .tracker
            .refresh(&target_inputs, settings, topology, now);
        state.runtime.refresh(view.utilization(), now);
        let runtime = Arc::clone(&state.runtime);
        PoolEntry {
            row: row.clone(),
            targets,
            view,
            runtime,
        }
    }

    /// Removes the state of deleted pools, and the counters of absent targets that are idle.
    fn remove_absent(&mut self, inputs: SnapshotInputs<'_>) {
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

/// Returns the phase for placement; an unreachable target gets no new requests, like a leaving one.
const fn placement_phase(phase: EffectivePhase) -> HostPhase {
    match phase {
        EffectivePhase::Live => HostPhase::Live,
        EffectivePhase::Leaving | EffectivePhase::Down => HostPhase::Leaving,
    }
}
