//! One case in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use briarrail_model::{CallPriority, LoadRecord, MilliDuration, MilliTime, StableHash, hash_pair};
use briarrail_policy::{
    AdmissionChoice, AdmissionRequest, PeerCount, PlacementRequest, PublishRule,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::chat_source::{ArrivalFacts, ChatSource};
use super::engine_model::EngineModel;
use super::router_model::{FleetReports, RouteAnswer, RouterModel};
use super::routing_rule::RoutingRule;
use super::run_totals::RunTotals;
use super::scenario_plan::{
    DOWN_MS, LOSS_MS, MEASURED_MS, RESTART_EVERY_MS, ScenarioPlan, WARM_UP_MS,
};
use super::site_shape::{RETURN_SECONDS, SiteShape};
use super::skew_meter::SkewMeter;

const TICK_MS: u64 = 100;
const REPORT_TICKS: u64 = 5;
/// Time in which a record reaches the other routers of a small fleet.
const EXCHANGE_DELAY: MilliDuration = MilliDuration::from_secs(2);
const DEAD_RETRY_MS: u64 = 200;
/// Contexts that an engine caches, as a multiple of its home chats.
const CACHE_RATIO: f64 = 2.0;
const TIMING_SAMPLE: u64 = 64;

/// One request on its way.
#[derive(Debug, Clone, Copy)]
struct OpenRequest {
    facts: ArrivalFacts,
    arrived_at: u64,
    router: u32,
    /// Whether it ran on an engine that stopped.
    resent: bool,
}

/// One stream at an engine.
#[derive(Debug, Clone, Copy)]
struct OpenStream {
    request: OpenRequest,
    engine: u32,
    hit: bool,
    alive: bool,
}

#[derive(Debug, Clone, Copy)]
enum FleetEvent {
    Arrive,
    Dispatch(OpenRequest),
    Finish(u32),
    Tick,
}

struct TimedEvent {
    key: Reverse<(u64, u64)>,
    event: FleetEvent,
}

impl PartialEq for TimedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl Eq for TimedEvent {}

impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key.cmp(&other.key)
    }
}

/// Parts of the system that a case may leave out.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunSwitches {
    /// Whether customers pass the admission gate.
    pub(crate) admission: bool,
    /// Whether the routers of a small fleet exchange their counts.
    pub(crate) peer_counts: bool,
}

/// One case: a site, a policy, a scenario and a seed.
pub(crate) struct FleetRun {
    shape: SiteShape,
    plan: ScenarioPlan,
    rule: RoutingRule,
    admission: bool,
    peer_counts: bool,
    publish: PublishRule,
    /// Draws arrivals; they are the same for every policy, and so are failures.
    world_rng: SmallRng,
    failure_rng: SmallRng,
    /// Draws what policies choose at random.
    rng: SmallRng,
    now: u64,
    arrival_time: f64,
    sequence: u64,
    events: BinaryHeap<TimedEvent>,
    engines: Vec<EngineModel>,
    routers: Vec<RouterModel>,
    streams: Vec<OpenStream>,
    free_streams: Vec<u32>,
    source: ChatSource,
    meter: SkewMeter,
    totals: RunTotals,
}

impl FleetRun {
    pub(crate) fn new(
        shape: SiteShape,
        plan: ScenarioPlan,
        rule: RoutingRule,
        switches: RunSwitches,
        seed: u64,
    ) -> Self {
        let home_chats = shape.request_rate() * RETURN_SECONDS / shape.engines as f64;
        let cache_limit = (home_chats * CACHE_RATIO) as usize;
        Self {
            shape,
            plan,
            rule,
            admission: switches.admission,
            peer_counts: switches.peer_counts,
            publish: PublishRule::for_targets(shape.engines * shape.pools),
            world_rng: SmallRng::seed_from_u64(seed),
            failure_rng: SmallRng::seed_from_u64(seed.rotate_left(32)),
            rng: SmallRng::seed_from_u64(!seed),
            now: 0,
            arrival_time: 0.0,
            sequence: 0,
            events: BinaryHeap::new(),
            engines: (0..shape.engines)
                .map(|_| EngineModel::new(cache_limit))
                .collect(),
            routers: (0..shape.routers)
                .map(|index| RouterModel::new(index, &shape, &plan))
                .collect(),
            streams: Vec::new(),
            free_streams: Vec::new(),
            source: ChatSource::new(&shape),
            meter: SkewMeter::default(),
            totals: RunTotals::default(),
        }
    }

    /// Runs the case to its end.
    pub(crate) fn run(mut self) -> (RunTotals, SkewMeter) {
        self.schedule(0, FleetEvent::Tick);
        self.schedule(1, FleetEvent::Arrive);
        while let Some(timed) = self.events.pop() {
            self.now = timed.key.0.0;
            if self.now >= WARM_UP_MS + MEASURED_MS {
                break;
            }
            match timed.event {
                FleetEvent::Arrive => self.arrive(),
                FleetEvent::Dispatch(request) => self.dispatch(request),
                FleetEvent::Finish(stream) => self.finish(stream),
                FleetEvent::Tick => self.tick(),
            }
        }
        self.totals.state_bytes = self.routers[0].state_bytes() * self.shape.pools;
        (self.totals, self.meter)
    }

    fn schedule(&mut self, at: u64, event: FleetEvent) {
        self.sequence += 1;
        let key = Reverse((at, self.sequence));
        self.events.push(TimedEvent { key, event });
    }

    const fn measured(&self) -> bool {
        self.now >= WARM_UP_MS
    }

    fn arrive(&mut self) {
        let facts = self.source.draw(&self.plan, self.now, &mut self.world_rng);
        let router = self.world_rng.random_range(0..self.routers.len()) as u32;
        let request = OpenRequest {
            facts,
            arrived_at: self.now,
            router,
            resent: false,
        };
        self.totals.requests += u64::from(self.measured());
        self.dispatch(request);
        self.arrival_time = self.arrival_time.max(self.now as f64);
        self.arrival_time += self.source.gap(&self.plan, self.now, &mut self.world_rng);
        self.schedule(self.arrival_time as u64, FleetEvent::Arrive);
    }

    fn dispatch(&mut self, request: OpenRequest) {
        let waited = MilliDuration::from_millis(self.now - request.arrived_at);
        if let Some(retry_ms) = self.held_back(&request, waited) {
            return self.wait_or_refuse(request, retry_ms);
        }
        let chat = request.facts.chat.map(|slot| {
            let id = self.source.chats[slot as usize].id;
            hash_pair(
                StableHash(id),
                StableHash(u64::from(request.facts.customer)),
            )
        });
        let placement = PlacementRequest { chat, waited };
        let answer = self.route(&request, &placement);
        match answer {
            RouteAnswer::Engines(engines) => {
                let up = |engine: &&u32| self.engines[**engine as usize].up;
                match engines.iter().find(up) {
                    Some(&engine) => self.start(request, engine),
                    None => self.wait_or_refuse(request, Some(DEAD_RETRY_MS)),
                }
            }
            RouteAnswer::Wait(millis) => self.wait_or_refuse(request, Some(millis)),
            RouteAnswer::Refused => self.wait_or_refuse(request, None),
        }
    }

    /// Returns the gate's verdict: the time to the next try, or none for a refusal.
    #[expect(
        clippy::option_option,
        reason = "outer: held back; inner: time to the next try"
    )]
    fn held_back(&self, request: &OpenRequest, waited: MilliDuration) -> Option<Option<u64>> {
        if !self.admission || request.resent {
            return None;
        }
        let admission = AdmissionRequest {
            customer: StableHash(u64::from(request.facts.customer)),
            priority: if request.facts.deferrable {
                CallPriority::Deferrable
            } else {
                CallPriority::Interactive
            },
            waited,
        };
        match self.routers[request.router as usize]
            .gate
            .decide(&admission)
        {
            AdmissionChoice::Admit { .. } => None,
            AdmissionChoice::Wait { retry_after } => Some(Some(retry_after.as_millis())),
            AdmissionChoice::Refuse { .. } => Some(None),
        }
    }

    fn route(&mut self, request: &OpenRequest, placement: &PlacementRequest) -> RouteAnswer {
        let router = &mut self.routers[request.router as usize];
        if !self.sequence.is_multiple_of(TIMING_SAMPLE) {
            return router.route(self.rule, placement, &mut self.rng);
        }
        let start = Instant::now();
        let answer = router.route(self.rule, placement, &mut self.rng);
        self.totals
            .decision_ns
            .push(start.elapsed().as_nanos() as u64);
        answer
    }

    fn wait_or_refuse(&mut self, request: OpenRequest, retry_ms: Option<u64>) {
        let surger = request.facts.customer == 0;
        if let Some(millis) = retry_ms {
            if request.arrived_at == self.now && self.measured() {
                self.totals.waited += 1;
                self.totals.others_waited += u64::from(!surger);
            }
            return self.schedule(self.now + millis, FleetEvent::Dispatch(request));
        }
        if self.measured() {
            self.totals.refused += 1;
            let counts = !surger && !request.facts.deferrable;
            self.totals.others_refused += u64::from(counts);
        }
    }

    fn start(&mut self, request: OpenRequest, engine: u32) {
        let hit = self.use_context(&request, engine);
        let stream = OpenStream {
            request,
            engine,
            hit,
            alive: true,
        };
        let id = match self.free_streams.pop() {
            Some(id) => {
                self.streams[id as usize] = stream;
                id
            }
            None => {
                self.streams.push(stream);
                (self.streams.len() - 1) as u32
            }
        };
        let router = &mut self.routers[request.router as usize];
        router.in_flight[engine as usize] += 1;
        router
            .gate
            .start(StableHash(u64::from(request.facts.customer)));
        let model = &mut self.engines[engine as usize];
        if model.running < self.shape.slots() {
            self.run_stream(id);
        } else {
            model.waiting[usize::from(request.facts.deferrable)].push_back(id);
        }
        let load = self.engines[engine as usize].load();
        let measured = self.measured();
        self.meter.change(engine as usize, 1.0, load, measured);
    }

    fn use_context(&mut self, request: &OpenRequest, engine: u32) -> bool {
        let Some(slot) = request.facts.chat else {
            return false;
        };
        let chat = &mut self.source.chats[slot as usize];
        let model = &mut self.engines[engine as usize];
        if request.resent {
            model.use_context(chat.id, chat.turns.saturating_sub(1));
            return false;
        }
        let turns = chat.turns;
        let held = model.use_context(chat.id, turns);
        chat.turns += 1;
        let hit = turns > 0 && held == Some(turns);
        if turns > 0 && self.now >= WARM_UP_MS {
            let surger = request.facts.customer == 0;
            self.totals.count_return(surger, hit);
            self.totals.prefix += f64::from(held.unwrap_or(0).min(turns)) / f64::from(turns);
        }
        hit
    }

    /// Gives a stream a slot.
    fn run_stream(&mut self, id: u32) {
        let OpenStream {
            request,
            engine,
            hit,
            ..
        } = self.streams[id as usize];
        let model = &mut self.engines[engine as usize];
        model.running += 1;
        let first_token = model.prefill_ms(hit, self.shape.slots()) as u64;
        if self.measured() && !request.resent && !request.facts.deferrable {
            let wait = self.now - request.arrived_at + first_token;
            self.totals.record_wait(request.facts.customer == 0, wait);
        }
        self.schedule(self.now + request.facts.stream_ms, FleetEvent::Finish(id));
    }

    fn finish(&mut self, id: u32) {
        let stream = self.streams[id as usize];
        self.free_streams.push(id);
        if !stream.alive {
            return;
        }
        self.release(&stream);
        let model = &mut self.engines[stream.engine as usize];
        model.running -= 1;
        let next = model.waiting[0]
            .pop_front()
            .or_else(|| model.waiting[1].pop_front());
        self.meter.change(stream.engine as usize, -1.0, 0, false);
        if let Some(next) = next {
            self.run_stream(next);
        }
    }

    fn release(&mut self, stream: &OpenStream) {
        let request = &stream.request;
        let router = &mut self.routers[request.router as usize];
        router.in_flight[stream.engine as usize] -= 1;
        router
            .gate
            .finish(StableHash(u64::from(request.facts.customer)));
    }

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

    fn tick(&mut self) {
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
    fn exchange_counts(&mut self, router: usize) -> Vec<Option<PeerCount>> {
        let (routers, engines) = (self.routers.len(), self.engines.len());
        let own_rule = self.rule == RoutingRule::Briarrail;
        if !own_rule || !self.peer_counts || !PeerCount::suits(routers, engines) {
            return vec![None; engines];
        }
        let published = self.routers[router].publish_counts(self.now);
        self.totals.records += published * u64::from(self.measured());
        let now = MilliTime::from_millis(self.now);
        let sum = |engine: usize| {
            let others = (0..routers).filter(|&other| other != router);
            let visible =
                |other: usize| self.routers[other].visible_count(engine, now - EXCHANGE_DELAY);
            PeerCount::add_up(others.map(visible), EXCHANGE_DELAY, now)
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
            if own_rule && !self.publish.is_due(last.as_ref(), &record, mean) {
                continue;
            }
            engine.published.push_back(record);
            engine.prune_records(self.now, self.plan.lag_ms);
            self.totals.records += u64::from(measured);
        }
    }
}
