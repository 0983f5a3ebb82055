//! Model of a router with its delayed view of the engines.

use std::collections::VecDeque;

use briarrail_model::{HostPhase, LoadRecord, MilliDuration, MilliTime, StableHash, hash_pair};
use briarrail_policy::{
    AdmissionController, LoadTracker, PeerInFlight, PlacementDecision, PlacementRequest,
    PlacementSettings, PlacementView, RouterTopology, TargetInput, place,
};
use rand::Rng;
use rand::rngs::SmallRng;

use super::engine_model::EngineModel;
use super::routing_policy::{BaselineTarget, BaselineView, RoutingPolicy};
use super::scenario::Scenario;
use super::site_parameters::{MEAN_STREAM_SECONDS, SiteParameters};

/// Added to the report lag in the delay that the placement policy is told to expect.
const REPORT_DELAY_MARGIN_MS: u64 = 1_000;
const MIN_HOST_LIST_DELAY_MS: u64 = 500;
const REGION: StableHash = StableHash(0xc0a5_7a15);
const MAX_PUBLISHED_COUNTS: usize = 8;
const MAX_ADMISSION_WAIT: MilliDuration = MilliDuration::from_secs(2);

/// Result of routing a request.
#[derive(Debug, Clone)]
pub(crate) enum RouteResult {
    /// Engines to try, best first.
    Engines(Vec<u32>),
    /// Retry after this many milliseconds.
    Wait(u64),
    Refused,
}

/// Load information that is visible to a router.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadReports<'a> {
    /// Visible load record of each engine.
    pub(crate) records: &'a [Option<LoadRecord>],
    /// Sum of the other routers' in-flight counts for each engine.
    pub(crate) peers: &'a [Option<PeerInFlight>],
}

/// One router: its in-flight counts, its view of the engines and its admission control.
pub(crate) struct RouterModel {
    pub(crate) in_flight: Vec<u32>,
    pub(crate) admission: AdmissionController,
    pub(crate) load_tracker: LoadTracker,
    /// Published in-flight counts of each engine, oldest first.
    published_counts: Vec<VecDeque<LoadRecord>>,
    view: PlacementView,
    baseline: BaselineView,
    index: u64,
    inputs: Vec<TargetInput>,
    settings: PlacementSettings,
    topology: RouterTopology,
}

/// Returns the hash of an engine's name.
pub(crate) fn engine_name_hash(engine: usize) -> StableHash {
    hash_pair(StableHash(engine as u64), StableHash(0xe9))
}

impl RouterModel {
    pub(crate) fn new(index: usize, site: &SiteParameters, scenario: &Scenario) -> Self {
        let mean_stream_time = MilliDuration::from_millis((MEAN_STREAM_SECONDS * 1_000.0) as u64);
        let mut settings = PlacementSettings::new(site.skew_bound, site.preference)
            .stream_time(mean_stream_time)
            .report_delay(MilliDuration::from_millis(
                scenario.report_lag_ms + REPORT_DELAY_MARGIN_MS,
            ));
        settings.max_streams_per_target = 0;
        let topology = RouterTopology {
            data_centre: StableHash((index % site.data_centres) as u64),
            region: REGION,
            router_count: site.routers as u32,
        };
        let mut load_tracker = LoadTracker::new(MilliTime::default());
        let view = load_tracker.refresh(&[], settings, topology, MilliTime::default());
        Self {
            in_flight: vec![0; site.engines],
            admission: AdmissionController::new(mean_stream_time, MAX_ADMISSION_WAIT),
            load_tracker,
            published_counts: vec![VecDeque::new(); site.engines],
            view,
            baseline: BaselineView {
                next_index: index,
                ..BaselineView::default()
            },
            index: index as u64,
            inputs: Vec::new(),
            settings,
            topology,
        }
    }

    /// Rebuilds the view from the visible records and this router's version of the host list.
    pub(crate) fn refresh(
        &mut self,
        policy: RoutingPolicy,
        site: &SiteParameters,
        scenario: &Scenario,
        engines: &[EngineModel],
        reports: LoadReports<'_>,
        now: u64,
    ) {
        self.inputs.clear();
        self.baseline.targets.clear();
        let mut total = 0;
        for (engine, model) in engines.iter().enumerate() {
            let live = self.lists_as_live(engine, model, scenario, now);
            let phase = if live {
                HostPhase::Live
            } else {
                HostPhase::Leaving
            };
            let load = reports.records[engine];
            self.inputs.push(TargetInput {
                name: engine_name_hash(engine),
                data_centre: StableHash((engine % site.data_centres) as u64),
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
                let name = engine_name_hash(engine);
                let engine = engine as u32;
                self.baseline
                    .targets
                    .push(BaselineTarget { engine, name, load });
            }
        }
        self.baseline.mean_load = f64::from(total) / self.baseline.targets.len().max(1) as f64;
        let mut utilization = self.baseline.mean_load as f32 / site.slots() as f32;
        if policy == RoutingPolicy::Briarrail {
            let time = MilliTime::from_millis(now);
            self.view = self
                .load_tracker
                .refresh(&self.inputs, self.settings, self.topology, time);
            utilization = self.view.utilization_at(site.slots()).unwrap_or_default();
        }
        self.admission.refresh(Some(utilization));
        self.admission.update_baselines(MilliTime::from_millis(now));
    }

    /// Publishes the in-flight counts that are due and returns their number.
    pub(crate) fn publish_counts(&mut self, now: u64) -> u64 {
        let version = MilliTime::from_millis(now);
        let mut published = 0;
        for (engine, published_counts) in self.published_counts.iter_mut().enumerate() {
            let next = LoadRecord {
                version,
                streams: self.in_flight[engine],
                keep_share: u8::MAX,
            };
            if PeerInFlight::should_publish(published_counts.back(), &next) {
                published_counts.push_back(next);
                published += 1;
            }
            while published_counts.len() > MAX_PUBLISHED_COUNTS {
                published_counts.pop_front();
            }
        }
        published
    }

    /// Returns the newest count of an engine that was published at or before `latest`.
    pub(crate) fn visible_count(&self, engine: usize, latest: MilliTime) -> Option<LoadRecord> {
        let mut newest_first = self.published_counts[engine].iter().rev();
        newest_first
            .find(|record| record.version <= latest)
            .copied()
    }

    pub(crate) fn route(
        &mut self,
        policy: RoutingPolicy,
        request: &PlacementRequest,
        rng: &mut SmallRng,
    ) -> RouteResult {
        if policy != RoutingPolicy::Briarrail {
            return RouteResult::Engines(self.baseline.choose(policy, request.chat, rng));
        }
        match place(&self.view, request, &self.in_flight, rng.random()) {
            PlacementDecision::Send(list) => {
                let engine = |target: &briarrail_policy::TargetIndex| target.as_usize() as u32;
                RouteResult::Engines(list.as_slice().iter().map(engine).collect())
            }
            PlacementDecision::Wait { retry_after } => RouteResult::Wait(retry_after.as_millis()),
            PlacementDecision::Refuse { .. } => RouteResult::Refused,
        }
    }

    /// Returns the size of the load tracker and the view, in bytes.
    pub(crate) fn state_bytes(&self) -> usize {
        self.load_tracker.state_bytes() + self.view.state_bytes()
    }

    /// Returns whether this router's host list shows the engine as live.
    fn lists_as_live(
        &self,
        engine: usize,
        model: &EngineModel,
        scenario: &Scenario,
        now: u64,
    ) -> bool {
        let Some(state_changed_at) = model.state_changed_at else {
            return model.is_up;
        };
        let pair = hash_pair(StableHash(self.index), engine_name_hash(engine));
        let change = model.incarnation * 2 + u64::from(model.is_up);
        let draw = hash_pair(pair, StableHash(change)).0;
        let spread = scenario
            .max_host_list_delay_ms
            .saturating_sub(MIN_HOST_LIST_DELAY_MS)
            .max(1);
        let change_is_visible = now - state_changed_at >= MIN_HOST_LIST_DELAY_MS + draw % spread;
        model.is_up == change_is_visible
    }
}
