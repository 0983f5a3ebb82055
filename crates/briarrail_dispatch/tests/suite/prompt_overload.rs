//! Prompts of a service that loses half of its targets while demand rises, with delayed counts of other
//! routers.

use std::collections::VecDeque;

use briarrail_dispatch::{
    AdmissionController, AdmissionPolicy, OutcomeTotals, PlacementRequest, SendNeed, SendOutcome,
    TargetKey, TargetRegistry, TargetState,
};
use briarrail_model::{MilliDuration, StableHash, hash_pair};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fixtures::{LIMITS, at, target};

const SERVICE: &str = "model";
const TARGETS: usize = 24;
const SLOTS: usize = 16;
/// Requests that a target queues for each of its slots before it rejects more.
const QUEUE_PER_SLOT: usize = 3;
const OBJECTIVE_MS: u64 = 500;
/// Minimum number of prompts on time, as a fraction of what the room left allows.
const MIN_ON_TIME_RATIO: f64 = 0.9;
const SEEDS: u64 = 3;
/// Time for which a caller waits for the first event.
const PATIENCE_MS: u64 = 3_000;
const SUBJECTS: u32 = 240;
const SHARED_TOKENS: u32 = 10_000;
const OWN_TOKENS: u32 = 1_000;
const READ_TOKENS_PER_MS: u32 = 100;
/// Subjects whose prompts a target keeps beside those of its requests.
const KEPT_SUBJECTS: usize = 30;
const DECODE_MS: std::ops::Range<u64> = 500..1_500;
/// Interval between two exchanges of counts, and their age on arrival.
const EXCHANGE_INTERVAL_MS: u64 = 300;
const LOST_AT_MS: u64 = 8_000;
const SETTLED_AT_MS: u64 = LOST_AT_MS + 3_000;
const END_MS: u64 = SETTLED_AT_MS + 10_000;
/// Demand before and after the loss, as a fraction of what the targets of that time can execute.
const CALM_RATIO: f64 = 0.4;
const OVERLOAD_RATIO: f64 = 2.0;

#[derive(Debug, Clone, Copy)]
struct Prompt {
    router: usize,
    subject: u32,
    arrived_at: u64,
    decode_ms: u64,
}

#[derive(Debug, Default)]
struct SimulatedTarget {
    waiting: VecDeque<Prompt>,
    /// Prompt that is being read, and the end of that.
    reading: Option<(u64, Prompt)>,
    to_read: VecDeque<Prompt>,
    /// End time of each stream.
    decoding: Vec<(u64, Prompt)>,
    /// Subjects in the prompt cache, the least recently used one first.
    kept: VecDeque<u32>,
}

impl SimulatedTarget {
    fn running(&self) -> usize {
        self.decoding.len() + self.to_read.len() + usize::from(self.reading.is_some())
    }
}

#[derive(Debug)]
struct Router {
    registry: TargetRegistry,
    admission: AdmissionController,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AdmissionRule {
    ByCapacity,
    /// All prompts are sent to targets with room, as before.
    Everything,
}

#[derive(Debug, Default)]
struct Outcome {
    on_time: usize,
    late: usize,
    tokens_read: u64,
}

struct Simulation {
    rule: AdmissionRule,
    rng: SmallRng,
    routers: Vec<Router>,
    keys: Vec<TargetKey>,
    targets: Vec<SimulatedTarget>,
    next_seed: u64,
    outcome: Outcome,
}

impl Simulation {
    fn new(rule: AdmissionRule, routers: usize, seed: u64) -> Self {
        let mut keys = Vec::new();
        let routers = (0..routers).map(|_| {
            let mut registry = TargetRegistry::default();
            let records = (0..TARGETS).map(|index| {
                let mut record = target(&format!("t{index}"));
                record.slots = SLOTS as u32;
                record
            });
            keys = records
                .map(|record| registry.upsert(record, at(0)))
                .collect();
            Router {
                registry,
                admission: AdmissionController::new(AdmissionPolicy::PROMPTS),
            }
        });
        Self {
            rule,
            rng: SmallRng::seed_from_u64(seed),
            routers: routers.collect(),
            keys,
            targets: (0..TARGETS).map(|_| SimulatedTarget::default()).collect(),
            next_seed: 0,
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        let mut due = 0.0;
        for now in 0..END_MS {
            if now == LOST_AT_MS {
                self.lose_targets(now);
            }
            for index in 0..self.targets.len() {
                self.advance_target(index, now);
            }
            if now % EXCHANGE_INTERVAL_MS == 0 {
                self.exchange(now);
            }
            let demand_per_ms = if now < LOST_AT_MS {
                CALM_RATIO * capacity_per_ms(TARGETS)
            } else {
                OVERLOAD_RATIO * capacity_per_ms(TARGETS / 2)
            };
            while due <= now as f64 {
                due -= (1.0 - self.rng.random::<f64>()).ln() / demand_per_ms;
                self.receive(now);
            }
        }
        self.outcome
    }

    fn lose_targets(&mut self, now: u64) {
        self.targets.truncate(TARGETS / 2);
        for router in &mut self.routers {
            for index in TARGETS / 2..TARGETS {
                router.registry.mark_removed(&format!("t{index}"), at(now));
            }
        }
    }

    fn finish(&mut self, index: usize, prompt: Prompt, outcome: Option<SendOutcome>, now: u64) {
        let registry = &mut self.routers[prompt.router].registry;
        registry.finish_request(self.keys[index]);
        if let Some(outcome) = outcome {
            registry.record_outcome(self.keys[index], outcome, at(now));
        }
    }

    fn advance_target(&mut self, index: usize, now: u64) {
        let target = &mut self.targets[index];
        let is_finished = |&mut (end, _): &mut (u64, Prompt)| end <= now;
        let finished: Vec<_> = target.decoding.extract_if(.., is_finished).collect();
        let is_given_up = |prompt: &Prompt| now >= prompt.arrived_at + PATIENCE_MS;
        let given_up: Vec<_> = target.waiting.iter().copied().filter(is_given_up).collect();
        target.waiting.retain(|prompt| !is_given_up(prompt));
        while target.running() < SLOTS {
            let Some(prompt) = target.waiting.pop_front() else {
                break;
            };
            target.to_read.push_back(prompt);
        }
        if let Some((_, prompt)) = target.reading.take_if(|(end, _)| *end <= now) {
            target.decoding.push((now + prompt.decode_ms, prompt));
            if now >= SETTLED_AT_MS {
                let is_on_time = now - prompt.arrived_at <= OBJECTIVE_MS;
                self.outcome.on_time += usize::from(is_on_time);
                self.outcome.late += usize::from(!is_on_time);
            }
        }
        if target.reading.is_none()
            && let Some(prompt) = target.to_read.pop_front()
        {
            let kept_at = target
                .kept
                .iter()
                .position(|&other| other == prompt.subject);
            if let Some(kept_at) = kept_at {
                target.kept.remove(kept_at);
            } else if target.kept.len() == KEPT_SUBJECTS {
                target.kept.pop_front();
            }
            target.kept.push_back(prompt.subject);
            let shared = if kept_at.is_some() { 0 } else { SHARED_TOKENS };
            if now >= SETTLED_AT_MS {
                self.outcome.tokens_read += u64::from(shared);
            }
            let read_ms = (OWN_TOKENS + shared) / READ_TOKENS_PER_MS;
            target.reading = Some((now + u64::from(read_ms), prompt));
        }
        for (_, prompt) in finished {
            self.finish(index, prompt, Some(SendOutcome::Good), now);
        }
        for prompt in given_up {
            self.finish(index, prompt, Some(SendOutcome::Broken), now);
        }
    }

    fn exchange(&mut self, now: u64) {
        let counts: Vec<(u32, Vec<(u32, OutcomeTotals)>)> = self
            .routers
            .iter_mut()
            .map(|router| {
                let arrivals = router.admission.local_arrivals(at(now));
                let by_target = self.keys.iter().map(|&key| {
                    let state = router.registry.get(key);
                    let requests = state.map_or(0, TargetState::local_requests);
                    (requests, router.registry.local_outcomes(key, at(now)))
                });
                (arrivals, by_target.collect())
            })
            .collect();
        let all_arrivals: u32 = counts.iter().map(|(arrivals, _)| arrivals).sum();
        for (index, &key) in self.keys.iter().enumerate() {
            let by_target = counts.iter().map(|(_, by_target)| by_target[index]);
            let (requests, outcomes) = by_target.fold(
                (0, OutcomeTotals::default()),
                |(requests, outcomes), (more, totals)| (requests + more, outcomes.plus(totals)),
            );
            for (router, (_, own)) in self.routers.iter_mut().zip(&counts) {
                let mut peer_outcomes = outcomes;
                peer_outcomes.good -= own[index].1.good;
                peer_outcomes.failed -= own[index].1.failed;
                let peers = (requests - own[index].0) as f32;
                let registry = &mut router.registry;
                registry.set_peer_stats(key, peers, peer_outcomes, at(now));
            }
        }
        for (router, (own, _)) in self.routers.iter_mut().zip(&counts) {
            let admission = &mut router.admission;
            admission.set_peer_arrivals(all_arrivals - own, at(now));
            let registry = &router.registry;
            let capacity = registry.service_capacity(SERVICE, admission.basis(), at(now));
            admission.record_load(&capacity, at(now));
        }
    }

    fn receive(&mut self, now: u64) {
        self.next_seed += 1;
        let prompt = Prompt {
            router: self.rng.random_range(0..self.routers.len()),
            subject: self.rng.random_range(0..SUBJECTS),
            arrived_at: now,
            decode_ms: self.rng.random_range(DECODE_MS),
        };
        let seed = hash_pair(StableHash(self.next_seed), StableHash(17));
        let objective = MilliDuration::from_millis(OBJECTIVE_MS);
        let Router {
            registry,
            admission,
        } = &mut self.routers[prompt.router];
        admission.record_arrival(at(now));
        let capacity = registry.service_capacity(SERVICE, admission.basis(), at(now));
        let ratio = admission.admission_ratio(&capacity, objective, at(now));
        if self.rule == AdmissionRule::ByCapacity && !ratio.admits(seed) {
            return;
        }
        let mut tried = Vec::new();
        // A target that is full rejects the request, which then goes to one more.
        while tried.len() < 2 {
            let request = PlacementRequest {
                service: SERVICE,
                affinity: Some(hash_pair(
                    StableHash(u64::from(prompt.subject)),
                    StableHash(3),
                )),
                shared_tokens: SHARED_TOKENS,
                tried: &tried,
                seed,
                objective,
                need: SendNeed::ANY,
            };
            let registry = &mut self.routers[prompt.router].registry;
            let Some(placement) = registry.place(&request, &LIMITS, at(now)) else {
                return;
            };
            let index = self.keys.iter().position(|&key| key == placement.target);
            let index = index.expect("known target");
            if self.targets[index].waiting.len() < QUEUE_PER_SLOT * SLOTS {
                registry.start_request(placement.target, at(now));
                self.targets[index].waiting.push_back(prompt);
                return;
            }
            tried.push(placement.target);
        }
    }
}

/// Returns how many prompts some targets can execute in a millisecond if none is read again.
fn capacity_per_ms(targets: usize) -> f64 {
    let decode_ms = (DECODE_MS.start + DECODE_MS.end) as f64 / 2.0;
    let read_ms = f64::from(OWN_TOKENS / READ_TOKENS_PER_MS);
    (targets * SLOTS) as f64 / (decode_ms + read_ms)
}

/// Returns the sum of the outcomes over all seeds.
fn play(rule: AdmissionRule, routers: usize) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 1..=SEEDS {
        let outcome = Simulation::new(rule, routers, seed).run();
        sum.on_time += outcome.on_time;
        sum.late += outcome.late;
        sum.tokens_read += outcome.tokens_read;
    }
    println!("{rule:?} at {routers} routers: {sum:?}");
    sum
}

/// Checks what the room left is used for.
fn check_room_use(routers: usize) {
    let measured_ms = (SEEDS * (END_MS - SETTLED_AT_MS)) as f64;
    let room = capacity_per_ms(TARGETS / 2) * measured_ms;
    let bounded = play(AdmissionRule::ByCapacity, routers);
    let on_time_ratio = bounded.on_time as f64 / room;
    assert!(on_time_ratio >= MIN_ON_TIME_RATIO, "{on_time_ratio:.3}");
}

#[test]
fn prompts_are_on_time_in_the_room_left_at_9_routers() {
    check_room_use(9);
}

#[test]
fn prompts_are_on_time_in_the_room_left_at_65_routers() {
    check_room_use(65);
}

#[test]
fn prompts_are_on_time_in_the_room_left_at_120_routers() {
    check_room_use(120);
}

/// Guards against an overload in which prompts wait in queues until they are late and are read again and
/// again.
#[test]
fn prompts_that_find_no_room_are_refused_before_they_make_others_late() {
    for routers in [9, 65, 120] {
        let bounded = play(AdmissionRule::ByCapacity, routers);
        let unbounded = play(AdmissionRule::Everything, routers);
        assert!(bounded.late * 10 <= bounded.on_time, "{bounded:?}");
        let gain = bounded.on_time as f64 / unbounded.on_time as f64;
        assert!(gain >= 1.5, "{gain:.2}: {unbounded:?}");
        assert!(
            unbounded.tokens_read > 2 * bounded.tokens_read,
            "{unbounded:?}"
        );
    }
}
