//! Publishing of control state to the traffic threads.

use std::collections::BTreeMap;
use std::sync::Arc;

use briarrail_fleet::FleetView;
use briarrail_model::{ConfigSnapshot, HostName, LoadRecord, MilliTime};
use briarrail_platform::{HostDirectory, ObjectStore};

use super::ControlLoop;
use super::snapshot_builder::SnapshotInputs;
use crate::state::ControlBytes;

impl<S, D> ControlLoop<S, D>
where
    S: ObjectStore,
    D: HostDirectory,
{
    /// Tells the burn record the objectives of the pools in force.
    pub(super) fn set_objectives(&self) {
        let Some(config) = self.parts.fleet.config() else {
            return;
        };
        let now = self.now();
        let mut burn = self.parts.state.burn();
        burn.retain_pools(|pool| config.tables.pool(pool).is_some());
        for pool in &config.tables.pools {
            burn.set_objective(&pool.name, &pool.objective, now);
        }
    }

    /// Takes a sample of the control bytes.
    pub(super) fn sample_rate(&self, now: MilliTime) {
        let counters = self.parts.fleet.counters();
        let bytes = ControlBytes {
            sent: counters.bytes_sent,
            received: counters.bytes_received,
        };
        self.parts.state.metrics.set_control_bytes(bytes);
        self.parts.state.rate().sample(bytes, now);
    }

    /// Builds a snapshot from what is known and hands it to the traffic threads.
    pub(super) fn publish(&mut self, now: MilliTime) {
        let fleet = &self.parts.fleet;
        self.has_been_ready |= fleet.is_ready();
        self.published_generation = Some(fleet.hosts().generation());
        let view = fleet.view();
        let config = fleet
            .config()
            .cloned()
            .unwrap_or_else(|| Arc::new(ConfigSnapshot::default()));
        let loads = self.latest_loads(&view);
        let inputs = SnapshotInputs {
            config: &config,
            view: &view,
            loads: &loads,
        };
        let snapshot = self.parts.builder.build(inputs, self.has_been_ready, now);
        self.parts
            .desk
            .assign(&snapshot.routers, &self.parts.own.name);
        let metrics = &self.parts.state.metrics;
        metrics.set_config_sequence(config.sequence);
        metrics.set_live_hosts("router", snapshot.routers.len() as u64);
        metrics.set_live_hosts("target", view.targets.len() as u64);
        self.parts.state.publish(snapshot);
    }

    /// Returns the latest record of each target, own readings included.
    fn latest_loads(&self, view: &FleetView) -> BTreeMap<HostName, LoadRecord> {
        let records = view.targets.iter().filter_map(|target| {
            let name = &target.entry.name;
            let exchanged = self.parts.fleet.load_of(name);
            let own = self.own_loads.get(name).copied();
            let newest = exchanged
                .into_iter()
                .chain(own)
                .max_by_key(|record| record.version)?;
            Some((name.clone(), newest))
        });
        records.collect()
    }
}
