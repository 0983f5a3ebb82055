//! Simulation of one case in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use briarrail_model::{CallPriority, MilliDuration, StableHash, hash_pair};
use briarrail_policy::{AdmissionDecision, AdmissionRequest, PlacementRequest, PublishPolicy};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::arrival_generator::ArrivalGenerator;
use super::case_totals::CaseTotals;
use super::engine_model::EngineModel;
use super::router_model::{RouteResult, RouterModel};
use super::routing_policy::RoutingPolicy;
use super::scenario::{MEASURED_MS, Scenario, WARM_UP_MS};
use super::scheduled_event::{EngineStream, ScheduledEvent, SimulatedRequest, SimulationEvent};
use super::site_parameters::{MEAN_CHAT_RETURN_SECONDS, SiteParameters};
use super::skew_meter::SkewMeter;

const ENGINE_DOWN_RETRY_MS: u64 = 200;
/// Capacity of an engine's cache as a multiple of the active chats per engine.
const CACHE_CAPACITY_RATIO: f64 = 2.0;
/// One decision is timed whenever the event sequence number is a multiple of this.
const TIMING_SAMPLE_INTERVAL: u64 = 64;

/// Features that a case can switch off.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SimulationOptions {
    /// Whether requests pass admission control.
    pub(crate) admission: bool,
    /// Whether the routers of a small fleet exchange their in-flight counts.
    pub(crate) peer_counts: bool,
}

/// State of one case.
pub(crate) struct Simulation {
    pub(super) site: SiteParameters,
    pub(super) scenario: Scenario,
    pub(super) policy: RoutingPolicy,
    pub(super) admission_enabled: bool,
    pub(super) peer_counts: bool,
    pub(super) publish_policy: PublishPolicy,
    /// Source of arrivals. It and `failure_rng` are independent of the policy, so that all
    /// policies see the same arrivals and failures.
    pub(super) arrival_rng: SmallRng,
    pub(super) failure_rng: SmallRng,
    /// Source of the policies' random choices.
    pub(super) policy_rng: SmallRng,
    pub(super) now: u64,
    pub(super) next_arrival_ms: f64,
    pub(super) sequence: u64,
    pub(super) events: BinaryHeap<ScheduledEvent>,
    pub(super) engines: Vec<EngineModel>,
    pub(super) routers: Vec<RouterModel>,
    pub(super) streams: Vec<EngineStream>,
    pub(super) free_stream_ids: Vec<u32>,
    pub(super) arrivals: ArrivalGenerator,
    pub(super) skew_meter: SkewMeter,
    pub(super) totals: CaseTotals,
}

impl Simulation {
    pub(crate) fn new(
        site: SiteParameters,
        scenario: Scenario,
        policy: RoutingPolicy,
        options: SimulationOptions,
        seed: u64,
    ) -> Self {
        let chats_per_engine = site.request_rate() * MEAN_CHAT_RETURN_SECONDS / site.engines as f64;
        let cache_capacity = (chats_per_engine * CACHE_CAPACITY_RATIO) as usize;
        Self {
            site,
            scenario,
            policy,
            admission_enabled: options.admission,
            peer_counts: options.peer_counts,
            publish_policy: PublishPolicy::for_targets(site.engines * site.pools),
            arrival_rng: SmallRng::seed_from_u64(seed),
            failure_rng: SmallRng::seed_from_u64(seed.rotate_left(32)),
            policy_rng: SmallRng::seed_from_u64(!seed),
            now: 0,
            next_arrival_ms: 0.0,
            sequence: 0,
            events: BinaryHeap::new(),
            engines: (0..site.engines)
                .map(|_| EngineModel::new(cache_capacity))
                .collect(),
            routers: (0..site.routers)
                .map(|index| RouterModel::new(index, &site, &scenario))
                .collect(),
            streams: Vec::new(),
            free_stream_ids: Vec::new(),
            arrivals: ArrivalGenerator::new(&site),
            skew_meter: SkewMeter::default(),
            totals: CaseTotals::default(),
        }
    }

    /// Runs the case and returns its results.
    pub(crate) fn run(mut self) -> (CaseTotals, SkewMeter) {
        self.schedule(0, SimulationEvent::Tick);
        self.schedule(1, SimulationEvent::Arrival);
        while let Some(scheduled) = self.events.pop() {
            self.now = scheduled.key.0.0;
            if self.now >= WARM_UP_MS + MEASURED_MS {
                break;
            }
            match scheduled.event {
                SimulationEvent::Arrival => self.handle_arrival(),
                SimulationEvent::Dispatch(request) => self.dispatch(request),
                SimulationEvent::StreamEnd(stream) => self.finish_stream(stream),
                SimulationEvent::Tick => self.tick(),
            }
        }
        self.totals.state_bytes = self.routers[0].state_bytes() * self.site.pools;
        (self.totals, self.skew_meter)
    }

    pub(super) fn schedule(&mut self, at: u64, event: SimulationEvent) {
        self.sequence += 1;
        let key = Reverse((at, self.sequence));
        self.events.push(ScheduledEvent { key, event });
    }

    pub(super) const fn is_measured(&self) -> bool {
        self.now >= WARM_UP_MS
    }

    fn handle_arrival(&mut self) {
        let attributes =
            self.arrivals
                .next_request(&self.scenario, self.now, &mut self.arrival_rng);
        let router = self.arrival_rng.random_range(0..self.routers.len()) as u32;
        let request = SimulatedRequest {
            attributes,
            arrived_at: self.now,
            router,
            resent: false,
        };
        self.totals.requests += u64::from(self.is_measured());
        self.dispatch(request);
        self.next_arrival_ms = self.next_arrival_ms.max(self.now as f64);
        self.next_arrival_ms +=
            self.arrivals
                .next_gap_ms(&self.scenario, self.now, &mut self.arrival_rng);
        self.schedule(self.next_arrival_ms as u64, SimulationEvent::Arrival);
    }

    pub(super) fn dispatch(&mut self, request: SimulatedRequest) {
        let waited = MilliDuration::from_millis(self.now - request.arrived_at);
        if let Some(retry_ms) = self.check_admission(&request, waited) {
            return self.retry_or_refuse(request, retry_ms);
        }
        let chat = request.attributes.chat.map(|slot| {
            let id = self.arrivals.chats[slot as usize].id;
            hash_pair(
                StableHash(id),
                StableHash(u64::from(request.attributes.customer)),
            )
        });
        let placement = PlacementRequest { chat, waited };
        let result = self.route(&request, &placement);
        match result {
            RouteResult::Engines(engines) => {
                let is_up = |engine: &&u32| self.engines[**engine as usize].is_up;
                match engines.iter().find(is_up) {
                    Some(&engine) => self.queue_stream(request, engine),
                    None => self.retry_or_refuse(request, Some(ENGINE_DOWN_RETRY_MS)),
                }
            }
            RouteResult::Wait(millis) => self.retry_or_refuse(request, Some(millis)),
            RouteResult::Refused => self.retry_or_refuse(request, None),
        }
    }

    /// Applies admission control; returns `None` for an admitted request, else the milliseconds
    /// until the next attempt, or `Some(None)` for a refusal.
    #[expect(
        clippy::option_option,
        reason = "outer: not admitted; inner: time until the next attempt"
    )]
    fn check_admission(
        &self,
        request: &SimulatedRequest,
        waited: MilliDuration,
    ) -> Option<Option<u64>> {
        if !self.admission_enabled || request.resent {
            return None;
        }
        let admission_request = AdmissionRequest {
            customer: StableHash(u64::from(request.attributes.customer)),
            priority: if request.attributes.deferrable {
                CallPriority::Deferrable
            } else {
                CallPriority::Interactive
            },
            waited,
        };
        match self.routers[request.router as usize]
            .admission
            .decide(&admission_request)
        {
            AdmissionDecision::Admit { .. } => None,
            AdmissionDecision::Wait { retry_after } => Some(Some(retry_after.as_millis())),
            AdmissionDecision::Refuse { .. } => Some(None),
        }
    }

    fn route(&mut self, request: &SimulatedRequest, placement: &PlacementRequest) -> RouteResult {
        let router = &mut self.routers[request.router as usize];
        if !self.sequence.is_multiple_of(TIMING_SAMPLE_INTERVAL) {
            return router.route(self.policy, placement, &mut self.policy_rng);
        }
        let start = Instant::now();
        let result = router.route(self.policy, placement, &mut self.policy_rng);
        self.totals
            .decision_ns
            .push(start.elapsed().as_nanos() as u64);
        result
    }

    /// Schedules another dispatch after `retry_ms`, or counts a refusal if it is `None`.
    fn retry_or_refuse(&mut self, request: SimulatedRequest, retry_ms: Option<u64>) {
        let is_surging = request.attributes.customer == 0;
        if let Some(millis) = retry_ms {
            if request.arrived_at == self.now && self.is_measured() {
                self.totals.waited += 1;
                self.totals.others_waited += u64::from(!is_surging);
            }
            return self.schedule(self.now + millis, SimulationEvent::Dispatch(request));
        }
        if self.is_measured() {
            self.totals.refused += 1;
            let is_counted = !is_surging && !request.attributes.deferrable;
            self.totals.others_refused += u64::from(is_counted);
        }
    }

    fn queue_stream(&mut self, request: SimulatedRequest, engine: u32) {
        let cache_hit = self.access_context(&request, engine);
        let stream = EngineStream {
            request,
            engine,
            cache_hit,
            is_active: true,
        };
        let id = match self.free_stream_ids.pop() {
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
            .admission
            .start(StableHash(u64::from(request.attributes.customer)));
        let model = &mut self.engines[engine as usize];
        if model.running < self.site.slots() {
            self.start_stream(id);
        } else {
            model.waiting[usize::from(request.attributes.deferrable)].push_back(id);
        }
        let load = self.engines[engine as usize].load();
        let measured = self.is_measured();
        self.skew_meter
            .record_change(engine as usize, 1.0, load, measured);
    }

    fn access_context(&mut self, request: &SimulatedRequest, engine: u32) -> bool {
        let Some(slot) = request.attributes.chat else {
            return false;
        };
        let chat = &mut self.arrivals.chats[slot as usize];
        let model = &mut self.engines[engine as usize];
        if request.resent {
            model.access_context(chat.id, chat.turns.saturating_sub(1));
            return false;
        }
        let turns = chat.turns;
        let cached_turns = model.access_context(chat.id, turns);
        chat.turns += 1;
        let cache_hit = turns > 0 && cached_turns == Some(turns);
        if turns > 0 && self.now >= WARM_UP_MS {
            let is_surging = request.attributes.customer == 0;
            self.totals.record_returning_turn(is_surging, cache_hit);
            self.totals.prefix_reuse_sum +=
                f64::from(cached_turns.unwrap_or(0).min(turns)) / f64::from(turns);
        }
        cache_hit
    }

    /// Assigns a slot to a stream.
    fn start_stream(&mut self, id: u32) {
        let EngineStream {
            request,
            engine,
            cache_hit,
            ..
        } = self.streams[id as usize];
        let model = &mut self.engines[engine as usize];
        model.running += 1;
        let first_token = model.prefill_ms(cache_hit, self.site.slots()) as u64;
        if self.is_measured() && !request.resent && !request.attributes.deferrable {
            let wait = self.now - request.arrived_at + first_token;
            self.totals
                .record_first_token(request.attributes.customer == 0, wait);
        }
        self.schedule(
            self.now + request.attributes.stream_ms,
            SimulationEvent::StreamEnd(id),
        );
    }

    fn finish_stream(&mut self, id: u32) {
        let stream = self.streams[id as usize];
        self.free_stream_ids.push(id);
        if !stream.is_active {
            return;
        }
        self.release_counts(&stream);
        let model = &mut self.engines[stream.engine as usize];
        model.running -= 1;
        let next = model.waiting[0]
            .pop_front()
            .or_else(|| model.waiting[1].pop_front());
        self.skew_meter
            .record_change(stream.engine as usize, -1.0, 0, false);
        if let Some(next) = next {
            self.start_stream(next);
        }
    }

    /// Removes a stream from its router's in-flight and admission counts.
    pub(super) fn release_counts(&mut self, stream: &EngineStream) {
        let request = &stream.request;
        let router = &mut self.routers[request.router as usize];
        router.in_flight[stream.engine as usize] -= 1;
        router
            .admission
            .finish(StableHash(u64::from(request.attributes.customer)));
    }
}
