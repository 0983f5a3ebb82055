//! Periodic work of the simulation: sampling, failures, load reports and view refreshes.

use briarrail_model::{LoadRecord, MilliDuration, MilliTime};
use briarrail_policy::PeerInFlight;
use rand::Rng;

use super::engine_model::EngineModel;
use super::router_model::LoadReports;
use super::routing_policy::RoutingPolicy;
use super::scenario::{
    DATA_CENTRE_LOSS_SPAN_MS, RESTART_DOWNTIME_MS, RESTART_INTERVAL_MS, WARM_UP_MS,
};
use super::scheduled_event::{SimulatedRequest, SimulationEvent};
use super::simulation::Simulation;

const TICK_MS: u64 = 100;
const LOAD_REPORT_INTERVAL_TICKS: u64 = 5;
/// Time that a count needs to reach the other routers of a small fleet.
const PEER_COUNT_DELAY: MilliDuration = MilliDuration::from_secs(2);

impl Simulation {
    /// Stops an engine and dispatches its streams again.
    fn stop_engine(&mut self, engine: usize) {
        let waiting: Vec<u32> = self.engines[engine]
            .waiting
            .iter()
            .flatten()
            .copied()
            .collect();
        self.engines[engine].stop(self.now);
        self.skew_meter.sample(&self.engines, self.now, false);
        let mut resent = Vec::new();
        let free: std::collections::HashSet<u32> = self.free_stream_ids.iter().copied().collect();
        for id in 0..self.streams.len() as u32 {
            let stream = self.streams[id as usize];
            if stream.engine as usize != engine || !stream.is_active || free.contains(&id) {
                continue;
            }
            self.streams[id as usize].is_active = false;
            self.release_counts(&stream);
            resent.push(SimulatedRequest {
                resent: true,
                ..stream.request
            });
        }
        self.free_stream_ids.extend(waiting);
        for request in resent {
            self.dispatch(request);
        }
    }

    /// Samples skew, applies failures, publishes loads and refreshes the views that are due.
    pub(super) fn tick(&mut self) {
        let tick = self.now / TICK_MS;
        self.schedule(self.now + TICK_MS, SimulationEvent::Tick);
        self.skew_meter
            .sample(&self.engines, self.now, self.is_measured());
        self.apply_scheduled_failures();
        if tick.is_multiple_of(LOAD_REPORT_INTERVAL_TICKS) {
            self.publish_loads();
        }
        let visible =
            |engine: &EngineModel| engine.visible_record(self.now, self.scenario.report_lag_ms);
        let records: Vec<_> = self.engines.iter().map(visible).collect();
        let offset = (tick % self.site.refresh_interval_ticks) as usize;
        for router in
            (offset..self.routers.len()).step_by(self.site.refresh_interval_ticks as usize)
        {
            let peers = self.exchange_peer_counts(router);
            let reports = LoadReports {
                records: &records,
                peers: &peers,
            };
            self.routers[router].refresh(
                self.policy,
                &self.site,
                &self.scenario,
                &self.engines,
                reports,
                self.now,
            );
        }
    }

    /// Publishes a router's in-flight counts and returns, for each engine, the sum of the other
    /// routers' visible counts.
    fn exchange_peer_counts(&mut self, router: usize) -> Vec<Option<PeerInFlight>> {
        let (routers, engines) = (self.routers.len(), self.engines.len());
        let uses_briarrail = self.policy == RoutingPolicy::Briarrail;
        if !uses_briarrail || !self.peer_counts || !PeerInFlight::is_enabled_for(routers, engines) {
            return vec![None; engines];
        }
        let published = self.routers[router].publish_counts(self.now);
        self.totals.records += published * u64::from(self.is_measured());
        let now = MilliTime::from_millis(self.now);
        let sum = |engine: usize| {
            let others = (0..routers).filter(|&other| other != router);
            let visible =
                |other: usize| self.routers[other].visible_count(engine, now - PEER_COUNT_DELAY);
            PeerInFlight::sum(others.map(visible), PEER_COUNT_DELAY, now)
        };
        (0..engines).map(sum).collect()
    }

    fn apply_scheduled_failures(&mut self) {
        if self.scenario.churn && self.now > 0 && self.now.is_multiple_of(RESTART_INTERVAL_MS) {
            let engine = self.failure_rng.random_range(0..self.engines.len());
            if self.engines[engine].is_up {
                self.stop_engine(engine);
            }
        }
        if self.scenario.data_centre_loss && self.now == WARM_UP_MS + DATA_CENTRE_LOSS_SPAN_MS.0 {
            for engine in (0..self.engines.len()).step_by(self.site.data_centres) {
                self.stop_engine(engine);
            }
        }
        let restored = self.now == WARM_UP_MS + DATA_CENTRE_LOSS_SPAN_MS.1;
        for engine in &mut self.engines {
            let down_for = engine.state_changed_at.map_or(0, |at| self.now - at);
            let restarted = self.scenario.churn && down_for >= RESTART_DOWNTIME_MS;
            if !engine.is_up && (restarted || restored) {
                engine.start(self.now);
            }
        }
    }

    fn publish_loads(&mut self) {
        let last = |engine: &EngineModel| engine.published.back().map(|record| record.streams);
        let known = self.engines.iter().filter_map(last);
        let (count, total) = known.fold((0, 0), |sum, streams| (sum.0 + 1, sum.1 + streams));
        let mean = total as f32 / count.max(1) as f32;
        let uses_briarrail = self.policy == RoutingPolicy::Briarrail;
        let measured = self.is_measured();
        for engine in self.engines.iter_mut().filter(|engine| engine.is_up) {
            let record = LoadRecord {
                version: MilliTime::from_millis(self.now),
                streams: engine.load(),
                keep_share: u8::MAX,
            };
            let last = engine.published.back().copied();
            if uses_briarrail
                && !self
                    .publish_policy
                    .should_publish(last.as_ref(), &record, mean)
            {
                continue;
            }
            engine.published.push_back(record);
            engine.prune_records(self.now, self.scenario.report_lag_ms);
            self.totals.records += u64::from(measured);
        }
    }
}
