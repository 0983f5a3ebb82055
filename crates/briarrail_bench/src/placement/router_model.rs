//! Routers with their lagged views.

use std::collections::VecDeque;

use briarrail_model::{HostPhase, LoadRecord, MilliDuration, MilliTime, StableHash, hash_pair};
use briarrail_policy::{
    AdmissionController, LoadTracker, PeerInFlight, PlacementDecision, PlacementRequest,
    PlacementSettings, PlacementView, RouterTopology, TargetInput, place,
};
use rand::Rng;
use rand::rngs::SmallRng;

use super::engine_model::EngineModel;
use super::routing_rule::{BaselineTarget, BaselineView, RoutingRule};
use super::scenario_plan::ScenarioPlan;
use super::site_shape::{STREAM_SECONDS, SiteShape};

const REPORT_SPREAD_MS: u64 = 1_000;
const MIN_LIST_DELAY_MS: u64 = 500;
const REGION: StableHash = StableHash(0xc0a5_7a15);
const KEPT_COUNTS: usize = 8;
const MAX_GATE_WAIT: MilliDuration = MilliDuration::from_secs(2);

/// Where a request goes.
#[derive(Debug, Clone)]
pub(crate) enum RouteAnswer {
    /// Engines to try, best first.
    Engines(Vec<u32>),
    /// Ask again after some milliseconds.
    Wait(u64),
    Refused,
}

/// What a router has heard of the engines' loads.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FleetReports<'a> {
    /// Visible load record of each engine.
    pub(crate) records: &'a [Option<LoadRecord>],
    /// Sum of the other routers' counts of each engine.
    pub(crate) peers: &'a [Option<PeerInFlight>],
}

/// One router: its own counts and its view of the engines.
pub(crate) struct RouterModel {
    pub(crate) in_flight: Vec<u32>,
    pub(crate) gate: AdmissionController,
    pub(crate) ledger: LoadTracker,
    /// Published counts of each engine, oldest first.
    counts: Vec<VecDeque<LoadRecord>>,
    view: PlacementView,
    baseline: BaselineView,
    index: u64,
    inputs: Vec<TargetInput>,
    settings: PlacementSettings,
    site: RouterTopology,
}

/// Returns the hash of an engine's name.
pub(crate) fn engine_name(engine: usize) -> StableHash {
    hash_pair(StableHash(engine as u64), StableHash(0xe9))
}

impl RouterModel {
    pub(crate) fn new(index: usize, shape: &SiteShape, plan: &ScenarioPlan) -> Self {
        let stream_time = MilliDuration::from_millis((STREAM_SECONDS * 1_000.0) as u64);
        let mut settings = PlacementSettings::new(shape.skew_bound, shape.preference)
            .stream_time(stream_time)
            .report_delay(MilliDuration::from_millis(plan.lag_ms + REPORT_SPREAD_MS));
        settings.max_streams_per_target = 0;
        let site = RouterTopology {
            data_centre: StableHash((index % shape.data_centres) as u64),
            region: REGION,
            router_count: shape.routers as u32,
        };
        let mut ledger = LoadTracker::new(MilliTime::default());
        let view = ledger.refresh(&[], settings, site, MilliTime::default());
        Self {
            in_flight: vec![0; shape.engines],
            gate: AdmissionController::new(stream_time, MAX_GATE_WAIT),
            ledger,
            counts: vec![VecDeque::new(); shape.engines],
            view,
            baseline: BaselineView {
                turn: index,
                ..BaselineView::default()
            },
            index: index as u64,
            inputs: Vec::new(),
            settings,
            site,
        }
    }

    /// Takes over the visible records and the router's own idea of the host list.
    pub(crate) fn refresh(
        &mut self,
        rule: RoutingRule,
        shape: &SiteShape,
        plan: &ScenarioPlan,
        engines: &[EngineModel],
        reports: FleetReports<'_>,
        now: u64,
    ) {
        self.inputs.clear();
        self.baseline.targets.clear();
        let mut total = 0;
        for (engine, model) in engines.iter().enumerate() {
            let live = self.believes_up(engine, model, plan, now);
            let phase = if live {
                HostPhase::Live
            } else {
                HostPhase::Leaving
            };
            let load = reports.records[engine];
            self.inputs.push(TargetInput {
                name: engine_name(engine),
                data_centre: StableHash((engine % shape.data_centres) as u64),
                region: REGION,
                phase,
                incarnation: model.incarnation,
                load,
                peer_in_flight: reports.peers[engine],
                in_flight: self.in_flight[engine],
            });
            let load = load.map_or(0, |record| record.streams);
            if live {
                total += load;
                let name = engine_name(engine);
                let engine = engine as u32;
                self.baseline
                    .targets
                    .push(BaselineTarget { engine, name, load });
            }
        }
        self.baseline.mean = f64::from(total) / self.baseline.targets.len().max(1) as f64;
        let mut pressure = self.baseline.mean as f32 / shape.slots() as f32;
        if rule == RoutingRule::Briarrail {
            let time = MilliTime::from_millis(now);
            self.view = self
                .ledger
                .refresh(&self.inputs, self.settings, self.site, time);
            pressure = self.view.utilization_at(shape.slots()).unwrap_or_default();
        }
        self.gate.refresh(Some(pressure));
        self.gate.update_baselines(MilliTime::from_millis(now));
    }

    /// Publishes the own counts that are due; returns their number.
    pub(crate) fn publish_counts(&mut self, now: u64) -> u64 {
        let version = MilliTime::from_millis(now);
        let mut published = 0;
        for (engine, counts) in self.counts.iter_mut().enumerate() {
            let next = LoadRecord {
                version,
                streams: self.in_flight[engine],
                keep_share: u8::MAX,
            };
            if PeerInFlight::should_publish(counts.back(), &next) {
                counts.push_back(next);
                published += 1;
            }
            while counts.len() > KEPT_COUNTS {
                counts.pop_front();
            }
        }
        published
    }

    /// Returns the count of an engine that other routers have heard of.
    pub(crate) fn visible_count(&self, engine: usize, latest: MilliTime) -> Option<LoadRecord> {
        let mut newest_first = self.counts[engine].iter().rev();
        newest_first
            .find(|record| record.version <= latest)
            .copied()
    }

    pub(crate) fn route(
        &mut self,
        rule: RoutingRule,
        request: &PlacementRequest,
        rng: &mut SmallRng,
    ) -> RouteAnswer {
        if rule != RoutingRule::Briarrail {
            return RouteAnswer::Engines(self.baseline.choose(rule, request.chat, rng));
        }
        match place(&self.view, request, &self.in_flight, rng.random()) {
            PlacementDecision::Send(list) => {
                let engine = |target: &briarrail_policy::TargetIndex| target.as_usize() as u32;
                RouteAnswer::Engines(list.as_slice().iter().map(engine).collect())
            }
            PlacementDecision::Wait { retry_after } => RouteAnswer::Wait(retry_after.as_millis()),
            PlacementDecision::Refuse { .. } => RouteAnswer::Refused,
        }
    }

    /// Returns the bytes of ledger and view.
    pub(crate) fn state_bytes(&self) -> usize {
        self.ledger.state_bytes() + self.view.state_bytes()
    }

    /// Returns whether this router's host list shows the engine as live.
    fn believes_up(
        &self,
        engine: usize,
        model: &EngineModel,
        plan: &ScenarioPlan,
        now: u64,
    ) -> bool {
        let Some(changed_at) = model.changed_at else {
            return model.up;
        };
        let pair = hash_pair(StableHash(self.index), engine_name(engine));
        let change = model.incarnation * 2 + u64::from(model.up);
        let draw = hash_pair(pair, StableHash(change)).0;
        let spread = plan.list_delay_ms.saturating_sub(MIN_LIST_DELAY_MS).max(1);
        let known = now - changed_at >= MIN_LIST_DELAY_MS + draw % spread;
        model.up == known
    }
}
