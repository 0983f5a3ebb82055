//! What happens to a case at each tick.

use briarrail_model::{LoadRecord, MilliDuration, MilliTime};
use briarrail_policy::PeerInFlight;
use rand::Rng;

use super::engine_model::EngineModel;
use super::fleet_run::FleetRun;
use super::router_model::FleetReports;
use super::routing_rule::RoutingRule;
use super::scenario_plan::{DOWN_MS, LOSS_MS, RESTART_EVERY_MS, WARM_UP_MS};
use super::timed_event::{FleetEvent, OpenRequest};

const TICK_MS: u64 = 100;
const REPORT_TICKS: u64 = 5;
/// Time in which a record reaches the other routers of a small fleet.
const EXCHANGE_DELAY: MilliDuration = MilliDuration::from_secs(2);

impl FleetRun {
    /// Stops an engine; its streams are sent again elsewhere.
    fn stop_engine(&mut self, engine: usize) {
        let waiting: Vec<u32> = self.engines[engine]
            .waiting
            .iter()
            .flatten()
            .copied()
            .collect();
        self.engines[engine].stop(self.now);
        self.meter.sample(&self.engines, self.now, false);
        let mut resent = Vec::new();
        let free: std::collections::HashSet<u32> = self.free_streams.iter().copied().collect();
        for id in 0..self.streams.len() as u32 {
            let stream = self.streams[id as usize];
            if stream.engine as usize != engine || !stream.alive || free.contains(&id) {
                continue;
            }
            self.streams[id as usize].alive = false;
            self.release(&stream);
            resent.push(OpenRequest {
                resent: true,
                ..stream.request
            });
        }
        self.free_streams.extend(waiting);
        for request in resent {
            self.dispatch(request);
        }
    }

    /// Samples, fails and refreshes what is due at this tick.
    pub(super) fn tick(&mut self) {
        let tick = self.now / TICK_MS;
        self.schedule(self.now + TICK_MS, FleetEvent::Tick);
        self.meter.sample(&self.engines, self.now, self.measured());
        self.apply_failures();
        if tick.is_multiple_of(REPORT_TICKS) {
            self.report_loads();
        }
        let visible = |engine: &EngineModel| engine.visible_record(self.now, self.plan.lag_ms);
        let records: Vec<_> = self.engines.iter().map(visible).collect();
        let phase = (tick % self.shape.refresh_ticks) as usize;
        for router in (phase..self.routers.len()).step_by(self.shape.refresh_ticks as usize) {
            let peers = self.exchange_counts(router);
            let reports = FleetReports {
                records: &records,
                peers: &peers,
            };
            self.routers[router].refresh(
                self.rule,
                &self.shape,
                &self.plan,
                &self.engines,
                reports,
                self.now,
            );
        }
    }

    /// Publishes a router's counts, and returns what it has heard of the others'.
    fn exchange_counts(&mut self, router: usize) -> Vec<Option<PeerInFlight>> {
        let (routers, engines) = (self.routers.len(), self.engines.len());
        let own_rule = self.rule == RoutingRule::Briarrail;
        if !own_rule || !self.peer_counts || !PeerInFlight::is_enabled_for(routers, engines) {
            return vec![None; engines];
        }
        let published = self.routers[router].publish_counts(self.now);
        self.totals.records += published * u64::from(self.measured());
        let now = MilliTime::from_millis(self.now);
        let sum = |engine: usize| {
            let others = (0..routers).filter(|&other| other != router);
            let visible =
                |other: usize| self.routers[other].visible_count(engine, now - EXCHANGE_DELAY);
            PeerInFlight::sum(others.map(visible), EXCHANGE_DELAY, now)
        };
        (0..engines).map(sum).collect()
    }

    fn apply_failures(&mut self) {
        if self.plan.churn && self.now > 0 && self.now.is_multiple_of(RESTART_EVERY_MS) {
            let engine = self.failure_rng.random_range(0..self.engines.len());
            if self.engines[engine].up {
                self.stop_engine(engine);
            }
        }
        if self.plan.data_centre_loss && self.now == WARM_UP_MS + LOSS_MS.0 {
            for engine in (0..self.engines.len()).step_by(self.shape.data_centres) {
                self.stop_engine(engine);
            }
        }
        let back = self.now == WARM_UP_MS + LOSS_MS.1;
        for engine in &mut self.engines {
            let down_for = engine.changed_at.map_or(0, |at| self.now - at);
            let restarted = self.plan.churn && down_for >= DOWN_MS;
            if !engine.up && (restarted || back) {
                engine.start(self.now);
            }
        }
    }

    fn report_loads(&mut self) {
        let last = |engine: &EngineModel| engine.published.back().map(|record| record.streams);
        let known = self.engines.iter().filter_map(last);
        let (count, total) = known.fold((0, 0), |sum, streams| (sum.0 + 1, sum.1 + streams));
        let mean = total as f32 / count.max(1) as f32;
        let own_rule = self.rule == RoutingRule::Briarrail;
        let measured = self.measured();
        for engine in self.engines.iter_mut().filter(|engine| engine.up) {
            let record = LoadRecord {
                version: MilliTime::from_millis(self.now),
                streams: engine.load(),
                keep_share: u8::MAX,
            };
            let last = engine.published.back().copied();
            if own_rule && !self.publish.should_publish(last.as_ref(), &record, mean) {
                continue;
            }
            engine.published.push_back(record);
            engine.prune_records(self.now, self.plan.lag_ms);
            self.totals.records += u64::from(measured);
        }
    }
}
