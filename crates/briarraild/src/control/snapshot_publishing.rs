//! Publishing of routing snapshots and metrics.

use briarrail_model::{HostName, MilliTime};
use briarrail_platform::{HostDirectory, ObjectStore};

use super::ControlLoop;
use super::snapshot_builder::{SnapshotInputs, TargetLoad};
use crate::state::ControlBytes;

impl<S, D> ControlLoop<S, D>
where
    S: ObjectStore,
    D: HostDirectory,
{
    /// Updates the objectives in the burn recorder from the configuration in force.
    pub(super) fn update_objectives(&self) {
        let Some(config) = self.parts.fleet.config() else {
            return;
        };
        let now = self.now();
        let mut burn_recorder = self.parts.state.burn_recorder();
        burn_recorder.retain_pools(|pool| config.tables.pool(pool).is_some());
        for pool in &config.tables.pools {
            burn_recorder.set_objective(&pool.name, &pool.objective, now);
        }
    }

    /// Records a sample of the control traffic counters.
    pub(super) fn sample_control_rate(&self, now: MilliTime) {
        let counters = self.parts.fleet.counters();
        let bytes = ControlBytes {
            sent: counters.bytes_sent,
            received: counters.bytes_received,
        };
        self.parts.state.metrics.set_control_bytes(bytes);
        self.parts.state.control_rate().record_sample(bytes, now);
    }

    /// Builds a snapshot and publishes it to the traffic threads.
    pub(super) fn publish(&mut self, now: MilliTime) {
        self.has_been_ready |= self.parts.fleet.is_ready();
        let is_view_changed = self.refresh_view();
        self.publish_in_flight(now);
        let config = self.parts.fleet.config().cloned().unwrap_or_default();
        let target_loads = self.target_loads(now);
        let inputs = SnapshotInputs {
            config: &config,
            view: &self.view,
            target_loads: &target_loads,
        };
        let snapshot = self
            .parts
            .snapshot_builder
            .build(inputs, self.has_been_ready, now);
        let metrics = &self.parts.state.metrics;
        metrics.set_config_sequence(config.sequence);
        if is_view_changed {
            metrics.set_live_hosts("router", snapshot.routers.len() as u64);
            metrics.set_live_hosts("target", self.view.targets.len() as u64);
            self.parts
                .claims
                .assign_buckets(&snapshot.routers, &self.parts.local_host.name);
        }
        self.parts.state.publish(snapshot);
    }

    /// Refreshes the view when the hosts have changed, and returns whether they have.
    fn refresh_view(&mut self) -> bool {
        let generation = Some(self.parts.fleet.hosts().generation());
        if self.view_generation == generation {
            return false;
        }
        self.view_generation = generation;
        self.view = self.parts.fleet.view();
        let hosts = self.parts.fleet.hosts();
        self.observed_loads
            .retain(|target, _| hosts.key(target).is_some());
        true
    }

    fn publish_in_flight(&mut self, now: MilliTime) {
        let builder = &self.parts.snapshot_builder;
        let in_flight = |target: &HostName| builder.in_flight(target);
        self.peer_in_flight
            .publish(&mut self.parts.fleet, &self.view, in_flight, now);
    }

    /// Returns the known load of each target, from its latest record and the other routers' counts.
    fn target_loads(&self, now: MilliTime) -> Vec<TargetLoad> {
        let fleet = &self.parts.fleet;
        let targets = self.view.targets.iter();
        let loads = targets.map(|target| {
            let name = &target.entry.name;
            let observed = self.observed_loads.get(name).copied();
            let records = fleet.load_of(name).into_iter().chain(observed);
            TargetLoad {
                record: records.max_by_key(|record| record.version),
                peer_in_flight: self
                    .peer_in_flight
                    .sum_for_target(fleet, &self.view, name, now),
            }
        });
        loads.collect()
    }
}
