//! One case in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use briarrail_model::{CallPriority, MilliDuration, StableHash, hash_pair};
use briarrail_policy::{AdmissionDecision, AdmissionRequest, PlacementRequest, PublishPolicy};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::chat_source::ChatSource;
use super::engine_model::EngineModel;
use super::router_model::{RouteAnswer, RouterModel};
use super::routing_rule::RoutingRule;
use super::run_totals::RunTotals;
use super::scenario_plan::{MEASURED_MS, ScenarioPlan, WARM_UP_MS};
use super::site_shape::{RETURN_SECONDS, SiteShape};
use super::skew_meter::SkewMeter;
use super::timed_event::{FleetEvent, OpenRequest, OpenStream, TimedEvent};

const DEAD_RETRY_MS: u64 = 200;
/// Contexts that an engine caches, as a multiple of its home chats.
const CACHE_RATIO: f64 = 2.0;
const TIMING_SAMPLE: u64 = 64;

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
    pub(super) shape: SiteShape,
    pub(super) plan: ScenarioPlan,
    pub(super) rule: RoutingRule,
    pub(super) admission: bool,
    pub(super) peer_counts: bool,
    pub(super) publish: PublishPolicy,
    /// Draws arrivals; they are the same for every policy, and so are failures.
    pub(super) world_rng: SmallRng,
    pub(super) failure_rng: SmallRng,
    /// Draws what policies choose at random.
    pub(super) rng: SmallRng,
    pub(super) now: u64,
    pub(super) arrival_time: f64,
    pub(super) sequence: u64,
    pub(super) events: BinaryHeap<TimedEvent>,
    pub(super) engines: Vec<EngineModel>,
    pub(super) routers: Vec<RouterModel>,
    pub(super) streams: Vec<OpenStream>,
    pub(super) free_streams: Vec<u32>,
    pub(super) source: ChatSource,
    pub(super) meter: SkewMeter,
    pub(super) totals: RunTotals,
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
            publish: PublishPolicy::for_targets(shape.engines * shape.pools),
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

    pub(super) fn schedule(&mut self, at: u64, event: FleetEvent) {
        self.sequence += 1;
        let key = Reverse((at, self.sequence));
        self.events.push(TimedEvent { key, event });
    }

    pub(super) const fn measured(&self) -> bool {
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

    pub(super) fn dispatch(&mut self, request: OpenRequest) {
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
            AdmissionDecision::Admit { .. } => None,
            AdmissionDecision::Wait { retry_after } => Some(Some(retry_after.as_millis())),
            AdmissionDecision::Refuse { .. } => Some(None),
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

    pub(super) fn release(&mut self, stream: &OpenStream) {
        let request = &stream.request;
        let router = &mut self.routers[request.router as usize];
        router.in_flight[stream.engine as usize] -= 1;
        router
            .gate
            .finish(StableHash(u64::from(request.facts.customer)));
    }
}
