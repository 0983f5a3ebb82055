//! Publishing of control state to the traffic threads.

use briarrail_model::{HostName, MilliTime};
use briarrail_platform::{HostDirectory, ObjectStore};

use super::ControlLoop;
use super::snapshot_builder::{SnapshotInputs, TargetReading};
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
        let mut burn = self.parts.state.burn_recorder();
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
        self.parts.state.control_rate().sample(bytes, now);
    }

    /// Builds a snapshot from what is known and hands it to the traffic threads.
    pub(super) fn publish(&mut self, now: MilliTime) {
        self.has_been_ready |= self.parts.fleet.is_ready();
        let is_changed = self.refresh_view();
        self.publish_counts(now);
        let config = self.parts.fleet.config().cloned().unwrap_or_default();
        let readings = self.target_readings(now);
        let inputs = SnapshotInputs {
            config: &config,
            view: &self.view,
            readings: &readings,
        };
        let snapshot = self.parts.builder.build(inputs, self.has_been_ready, now);
        let metrics = &self.parts.state.metrics;
        metrics.set_config_sequence(config.sequence);
        if is_changed {
            metrics.set_live_hosts("router", snapshot.routers.len() as u64);
            metrics.set_live_hosts("target", self.view.targets.len() as u64);
            self.parts
                .desk
                .assign(&snapshot.routers, &self.parts.own.name);
        }
        self.parts.state.publish(snapshot);
    }

    /// Takes over the hosts when they have changed, and returns whether they have.
    fn refresh_view(&mut self) -> bool {
        let generation = Some(self.parts.fleet.hosts().generation());
        if self.view_generation == generation {
            return false;
        }
        self.view_generation = generation;
        self.view = self.parts.fleet.view();
        let hosts = self.parts.fleet.hosts();
        self.own_loads
            .retain(|target, _| hosts.key(target).is_some());
        true
    }

    fn publish_counts(&mut self, now: MilliTime) {
        let builder = &self.parts.builder;
        let in_flight = |target: &HostName| builder.in_flight(target);
        self.peer_counts
            .publish(&mut self.parts.fleet, &self.view, in_flight, now);
    }

    /// Returns what is known of each target of the view, own readings included.
    fn target_readings(&self, now: MilliTime) -> Vec<TargetReading> {
        let fleet = &self.parts.fleet;
        let targets = self.view.targets.iter();
        let readings = targets.map(|target| {
            let name = &target.entry.name;
            let own = self.own_loads.get(name).copied();
            let known = fleet.load_of(name).into_iter().chain(own);
            TargetReading {
                load: known.max_by_key(|record| record.version),
                peers: self.peer_counts.of_target(fleet, &self.view, name, now),
            }
        });
        readings.collect()
    }
}
