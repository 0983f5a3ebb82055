//! Targets that ask for a pause or leave, in fleets of several sizes with delayed counts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use briarrail_dispatch::{
    AdmissionController, AskedRun, CompletionBasis, OutcomeTotals, PauseReport, PlacementRequest,
    RefusalCause, RetryBudget, RetryBudgetLimits, SendDenial, SendNeed, SendOutcome, TargetKey,
    TargetNotice, TargetPause, TargetRegistry, retry_after,
};
use briarrail_model::{MilliDuration, StableHash, hash_pair};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fixtures::{LIMITS, at, target};

const SERVICE: &str = "model";
const TARGETS: usize = 20;
const SLOTS: usize = 6;
/// Calls that a target queues for each of its slots before it rejects more.
const QUEUE_PER_SLOT: usize = 4;
const SERVICE_TIME_MS: u64 = 100;
const OBJECTIVE: MilliDuration = MilliDuration::from_millis(500);
/// Demand as a fraction of the capacity of all targets.
const DEMAND_RATIO: f64 = 0.45;
const MAX_ATTEMPTS: usize = 3;
/// Number of times that a caller comes back, and the time after which it gives up.
const MAX_RETURNS: u32 = 4;
const PATIENCE_MS: u64 = 8_000;
const EXCHANGE_INTERVAL_MS: u64 = 200;
/// Time at which the targets say something, and that at which they are back.
const NOTICE_AT_MS: u64 = 5_000;
const BACK_AT_MS: u64 = 8_000;
const END_MS: u64 = 16_000;
/// Time within which the exchange passes on that a target leaves.
const EXCHANGE_TIME_MS: u64 = 1_000;
/// Time after a pause in which there must be no herd, and the largest multiple of the mean.
const HERD_TIME_MS: u64 = 100;
const MAX_HERD_RATIO: f64 = 2.0;
const FLEETS: [usize; 4] = [9, 82, 90, 300];
const AFFECTED: [usize; 3] = [TARGETS / 10, TARGETS / 2, TARGETS];
const SEEDS: u64 = 3;
const BUDGET: RetryBudgetLimits = RetryBudgetLimits {
    ratio: 0.2,
    window: MilliDuration::from_secs(10),
    slack: 54.0,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Notice {
    /// The targets refuse all calls for a while, and name the time that is left.
    Pause,
    /// The targets answer, say that they leave, and are gone at the end.
    Leaving,
    /// They refuse the calls and name no time.
    SilentRefusal,
    /// They answer, say nothing, and are gone at the end.
    SilentLeaving,
}

#[derive(Debug, Clone, Copy)]
struct Scenario {
    notice: Notice,
    routers: usize,
    /// Number of targets that say something.
    affected: usize,
    seed: u64,
}

#[derive(Debug, Clone, Copy)]
struct Call {
    router: usize,
    id: u64,
    first_arrival: u64,
    returns: u32,
}

#[derive(Debug, Default)]
struct Router {
    registry: TargetRegistry,
    admission: AdmissionController,
    budget: RetryBudget,
    /// Affected targets that have told this router what they say.
    told: BTreeSet<usize>,
}

#[derive(Debug, Default)]
struct SimulatedTarget {
    running: Vec<(u64, Call)>,
    waiting: VecDeque<Call>,
}

#[derive(Debug, Default)]
struct Outcome {
    calls: usize,
    served: usize,
    /// Arrivals at the affected targets by time.
    arrivals: BTreeMap<u64, usize>,
    /// Calls that a router sent to an affected target after that had told it not to.
    sent_though_told: usize,
}

impl Outcome {
    fn arrivals_between(&self, start: u64, end: u64) -> f64 {
        self.arrivals
            .range(start..end)
            .map(|(_, count)| count)
            .sum::<usize>() as f64
    }

    /// Returns the share of the calls that were served in the end.
    fn served_share(&self) -> f64 {
        self.served as f64 / self.calls as f64
    }

    /// Returns the arrivals in the first moment after a pause, as a multiple of the mean before it.
    fn herd_ratio(&self) -> f64 {
        let before = self.arrivals_between(NOTICE_AT_MS - 3_000, NOTICE_AT_MS);
        let mean = before * HERD_TIME_MS as f64 / 3_000.0;
        self.arrivals_between(BACK_AT_MS, BACK_AT_MS + HERD_TIME_MS) / mean
    }
}

struct Replay {
    scenario: Scenario,
    rng: SmallRng,
    routers: Vec<Router>,
    keys: Vec<TargetKey>,
    targets: Vec<SimulatedTarget>,
    returning: BTreeMap<u64, Vec<Call>>,
    /// Counts and outcomes of each router by target, and its arrivals, at the last exchange.
    published: Vec<(Vec<(u32, OutcomeTotals)>, u32)>,
    outcome: Outcome,
}

impl Replay {
    fn new(scenario: Scenario) -> Self {
        let mut routers: Vec<Router> = (0..scenario.routers).map(|_| Router::default()).collect();
        let mut keys = Vec::new();
        for router in &mut routers {
            let records = (0..TARGETS).map(|index| {
                let mut record = target(&format!("t{index}"));
                record.slots = SLOTS as u32;
                record
            });
            keys = records
                .map(|record| router.registry.upsert(record, at(0)))
                .collect();
        }
        Self {
            rng: SmallRng::seed_from_u64(scenario.seed),
            routers,
            keys,
            targets: (0..TARGETS).map(|_| SimulatedTarget::default()).collect(),
            returning: BTreeMap::new(),
            published: Vec::new(),
            outcome: Outcome::default(),
            scenario,
        }
    }

    fn run(mut self) -> Outcome {
        let capacity_per_ms = (TARGETS * SLOTS) as f64 / SERVICE_TIME_MS as f64;
        let demand_per_ms = DEMAND_RATIO * capacity_per_ms;
        let mut due = 0.0;
        let mut id = 0;
        for now in 0..END_MS {
            if now == BACK_AT_MS {
                self.end_lifetimes(now);
            }
            self.advance_targets(now);
            if now % EXCHANGE_INTERVAL_MS == 0 {
                self.exchange(now);
            }
            while due <= now as f64 && now < END_MS - PATIENCE_MS / 2 {
                due -= (1.0 - self.rng.random::<f64>()).ln() / demand_per_ms;
                id += 1;
                self.outcome.calls += 1;
                let call = Call {
                    router: self.rng.random_range(0..self.routers.len()),
                    id,
                    first_arrival: now,
                    returns: 0,
                };
                self.receive(call, now);
            }
            for mut call in self.returning.remove(&now).unwrap_or_default() {
                call.router = self.rng.random_range(0..self.routers.len());
                self.receive(call, now);
            }
        }
        self.outcome
    }

    fn is_affected(&self, index: usize, now: u64) -> bool {
        index < self.scenario.affected && (NOTICE_AT_MS..BACK_AT_MS).contains(&now)
    }

    /// Takes what is left at the targets that leave; they start again under their ids.
    fn end_lifetimes(&mut self, now: u64) {
        if matches!(self.scenario.notice, Notice::Pause | Notice::SilentRefusal) {
            return;
        }
        for index in 0..self.scenario.affected {
            let ended = std::mem::take(&mut self.targets[index]);
            let running = ended.running.into_iter().map(|(_, call)| call);
            for call in running.chain(ended.waiting) {
                self.finish(index, call, SendOutcome::Broken, now);
            }
            for router in &mut self.routers {
                let mut record = target(&format!("t{index}"));
                record.slots = SLOTS as u32;
                record.started_unix_ms = 2;
                router.registry.upsert(record, at(now));
                router.told.remove(&index);
            }
        }
    }

    fn finish(&mut self, index: usize, call: Call, outcome: SendOutcome, now: u64) {
        let registry = &mut self.routers[call.router].registry;
        registry.finish_request(self.keys[index]);
        registry.record_outcome(self.keys[index], outcome, at(now));
        self.outcome.served += usize::from(outcome == SendOutcome::Good);
    }

    fn advance_targets(&mut self, now: u64) {
        for index in 0..TARGETS {
            let is_finished = |&mut (end, _): &mut (u64, Call)| end <= now;
            let running = &mut self.targets[index].running;
            let finished: Vec<_> = running.extract_if(.., is_finished).collect();
            for (_, call) in finished {
                self.finish(index, call, SendOutcome::Good, now);
                if self.is_affected(index, now) && self.scenario.notice == Notice::Leaving {
                    self.tell(index, call.router, TargetNotice::Leaving, now);
                }
            }
            while self.targets[index].running.len() < SLOTS {
                let Some(call) = self.targets[index].waiting.pop_front() else {
                    break;
                };
                let work = self
                    .rng
                    .random_range(SERVICE_TIME_MS / 2..SERVICE_TIME_MS * 3 / 2);
                self.targets[index].running.push((now + work, call));
            }
        }
    }

    fn tell(&mut self, index: usize, router: usize, notice: TargetNotice, now: u64) {
        let router = &mut self.routers[router];
        let asked = AskedRun {
            run: router
                .registry
                .get(self.keys[index])
                .unwrap()
                .standing()
                .run(),
            asked_at: at(now),
        };
        router
            .registry
            .record_notice(self.keys[index], asked, notice, at(now));
        router.told.insert(index);
    }

    /// Exchanges the counts of the last round, and the runs that leave.
    fn exchange(&mut self, now: u64) {
        let mut leaving = BTreeSet::new();
        let mut sums = vec![(0, OutcomeTotals::default()); TARGETS];
        for (counts, _) in &self.published {
            for (sum, (count, outcomes)) in sums.iter_mut().zip(counts) {
                *sum = (sum.0 + count, sum.1.plus(*outcomes));
            }
        }
        let arrivals: u32 = self.published.iter().map(|(_, arrivals)| arrivals).sum();
        for (router, (counts, own_arrivals)) in self.routers.iter_mut().zip(&self.published) {
            for (key, (sum, own)) in self.keys.iter().zip(sums.iter().zip(counts)) {
                let outcomes = OutcomeTotals {
                    good: sum.1.good - own.1.good,
                    failed: sum.1.failed - own.1.failed,
                };
                let peers = (sum.0 - own.0) as f32;
                router
                    .registry
                    .set_peer_stats(*key, peers, outcomes, at(now));
            }
            let peer_arrivals = arrivals - own_arrivals;
            router.admission.set_peer_arrivals(peer_arrivals, at(now));
            let capacity =
                router
                    .registry
                    .service_capacity(SERVICE, CompletionBasis::Outcomes, at(now));
            router.admission.record_load(&capacity, at(now));
        }
        let mut pauses: BTreeMap<u32, PauseReport> = BTreeMap::new();
        for router in &self.routers {
            leaving.extend(router.registry.leaving_runs());
            for (target, pause) in router.registry.pause_reports(at(now)) {
                let sum = pauses.entry(target);
                sum.and_modify(|sum| *sum = sum.plus(pause))
                    .or_insert(pause);
            }
        }
        let routers = self.routers.len();
        self.published.clear();
        for router in &mut self.routers {
            router.registry.record_leaving(&leaving, at(now));
            router.registry.record_pauses(&pauses, routers, at(now));
            let local = |key: &TargetKey| {
                let outcomes = router.registry.local_outcomes(*key, at(now));
                let target = router.registry.get(*key).unwrap();
                (target.local_requests(), outcomes)
            };
            let counts = self.keys.iter().map(local).collect();
            self.published
                .push((counts, router.admission.local_arrivals(at(now))));
        }
    }

    fn receive(&mut self, call: Call, now: u64) {
        let seed = hash_pair(StableHash(call.id), StableHash(u64::from(call.returns)));
        let need = SendNeed {
            seed: Some(seed),
            ..SendNeed::ANY
        };
        let router = &mut self.routers[call.router];
        router.budget.record_request(at(now), &BUDGET);
        router.admission.record_arrival(at(now));
        if let Some(cause) = denial_cause(&router.registry, &need, now) {
            self.refuse(call, cause, seed, now);
            return;
        }
        let capacity =
            router
                .registry
                .service_capacity(SERVICE, CompletionBasis::Outcomes, at(now));
        let admission = router
            .admission
            .admission_ratio(&capacity, OBJECTIVE, at(now));
        if !admission.admits(seed) {
            self.refuse(call, RefusalCause::AtCapacity(OBJECTIVE), seed, now);
            return;
        }
        let mut tried = Vec::new();
        loop {
            let request = PlacementRequest {
                service: SERVICE,
                affinity: None,
                shared_tokens: 0,
                tried: &tried,
                seed,
                objective: OBJECTIVE,
                need,
            };
            let router = &mut self.routers[call.router];
            let placement = router.registry.place(&request, &LIMITS, at(now));
            let has_budget = tried.is_empty()
                || router
                    .budget
                    .try_take_retry(at(now), &BUDGET, self.scenario.routers);
            let Some(placement) = placement.filter(|_| has_budget) else {
                break;
            };
            if self.send(call, placement.target, now) {
                return;
            }
            tried.push(placement.target);
            if tried.len() == MAX_ATTEMPTS {
                break;
            }
        }
        let registry = &self.routers[call.router].registry;
        let cause = denial_cause(registry, &need, now);
        let cause = cause.unwrap_or(RefusalCause::AtCapacity(OBJECTIVE));
        self.refuse(call, cause, seed, now);
    }

    /// Sends a call to a target, and returns whether that took it.
    fn send(&mut self, call: Call, key: TargetKey, now: u64) -> bool {
        let index = self.keys.iter().position(|other| *other == key).unwrap();
        self.routers[call.router]
            .registry
            .start_request(key, at(now));
        if index < self.scenario.affected {
            *self.outcome.arrivals.entry(now).or_default() += 1;
        }
        let is_affected = self.is_affected(index, now);
        if is_affected && self.routers[call.router].told.contains(&index) {
            self.outcome.sent_though_told += 1;
        }
        let target = &mut self.targets[index];
        let is_paused =
            is_affected && matches!(self.scenario.notice, Notice::Pause | Notice::SilentRefusal);
        if !is_paused && target.waiting.len() < SLOTS * QUEUE_PER_SLOT {
            target.waiting.push_back(call);
            return true;
        }
        self.finish(index, call, SendOutcome::Refused, now);
        if is_paused && self.scenario.notice == Notice::Pause {
            let seconds = (BACK_AT_MS - now) as f64 / 1_000.0;
            let pause = TargetPause::from_secs(seconds, at(now)).unwrap();
            self.tell(index, call.router, TargetNotice::Paused(pause), now);
        }
        false
    }

    fn refuse(&mut self, mut call: Call, cause: RefusalCause, seed: StableHash, now: u64) {
        let return_at = now + retry_after(cause, seed).as_millis();
        call.returns += 1;
        if call.returns <= MAX_RETURNS && return_at <= call.first_arrival + PATIENCE_MS {
            self.returning.entry(return_at).or_default().push(call);
        }
    }
}

fn denial_cause(registry: &TargetRegistry, need: &SendNeed<'_>, now: u64) -> Option<RefusalCause> {
    Some(match registry.service_denial(SERVICE, need, at(now))? {
        SendDenial::Paused { until } => RefusalCause::TargetsPaused(until.since(at(now))),
        _ => RefusalCause::NoTarget,
    })
}

/// Runs a scenario with several seeds, and returns the sums of its outcomes.
fn replay(notice: Notice, routers: usize, affected: usize) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 0..SEEDS {
        let scenario = Scenario {
            notice,
            routers,
            affected,
            seed,
        };
        let outcome = Replay::new(scenario).run();
        sum.calls += outcome.calls;
        sum.served += outcome.served;
        sum.sent_though_told += outcome.sent_though_told;
        for (time, count) in outcome.arrivals {
            *sum.arrivals.entry(time).or_default() += count;
        }
    }
    sum
}

/// Guards against a herd at the end of a pause, and against a pause that costs callers more than the
/// refusals that it announces.
#[test]
fn paused_targets_get_their_share_back_without_a_herd() {
    for routers in FLEETS {
        for affected in AFFECTED {
            let context = format!("{routers} routers, {affected} of {TARGETS} targets");
            let outcome = replay(Notice::Pause, routers, affected);
            let silent = replay(Notice::SilentRefusal, routers, affected);
            let herd_ratio = outcome.herd_ratio();
            println!(
                "{context}: herd {herd_ratio:.2} ({:.2} without), served {:.4} ({:.4} without)",
                silent.herd_ratio(),
                outcome.served_share(),
                silent.served_share(),
            );
            assert_eq!(outcome.sent_though_told, 0, "{context}");
            assert!(herd_ratio <= MAX_HERD_RATIO, "{context}: {herd_ratio}");
            assert!(outcome.served_share() >= silent.served_share(), "{context}");
        }
    }
}

/// Guards against requests to targets that leave, and against lost ones as these are gone.
#[test]
fn leaving_targets_get_nothing_more_from_all_routers() {
    for routers in FLEETS {
        for affected in AFFECTED {
            let context = format!("{routers} routers, {affected} of {TARGETS} targets");
            let outcome = replay(Notice::Leaving, routers, affected);
            let silent = replay(Notice::SilentLeaving, routers, affected);
            println!(
                "{context}: served {:.4} ({:.4} without)",
                outcome.served_share(),
                silent.served_share(),
            );
            let late = outcome.arrivals_between(NOTICE_AT_MS + EXCHANGE_TIME_MS, BACK_AT_MS);
            assert_eq!(late, 0.0, "{context}");
            assert_eq!(outcome.sent_though_told, 0, "{context}");
            // Without another target a request can only be refused.
            assert!(
                affected == TARGETS || outcome.served_share() >= silent.served_share(),
                "{context}"
            );
        }
    }
}

/// What a target says holds for its lifetime, whatever the store lists in between, and for no other.
#[test]
fn what_a_target_says_holds_for_its_lifetime_alone() {
    let run = |started_unix_ms| {
        let mut record = target("t0");
        record.started_unix_ms = started_unix_ms;
        record
    };
    let mut registry = TargetRegistry::default();
    let key = registry.upsert(run(1), at(0));
    let first = AskedRun {
        run: registry.get(key).unwrap().standing().run(),
        asked_at: at(0),
    };
    registry.record_notice(key, first, TargetNotice::Leaving, at(0));
    let denial = |registry: &TargetRegistry, now| {
        let key = registry.key_by_id("t0").unwrap();
        registry.denial(key, &SendNeed::ANY, at(now))
    };
    assert_eq!(denial(&registry, 1), Some(SendDenial::Leaving));
    registry.upsert(run(2), at(2));
    registry.record_notice(key, first, TargetNotice::Leaving, at(2));
    assert_eq!(
        denial(&registry, 3),
        None,
        "a late answer of the run before"
    );
    registry.upsert(run(1), at(4));
    assert_eq!(denial(&registry, 5), Some(SendDenial::Leaving));
    registry.mark_removed("t0", at(6));
    registry.purge_removed(at(60_000));
    assert_eq!(registry.key_by_id("t0"), None);
    registry.upsert(run(1), at(60_001));
    assert_eq!(denial(&registry, 60_002), Some(SendDenial::Leaving));
}

#[test]
fn only_sensible_times_are_pauses() {
    let seconds = [f64::NAN, f64::INFINITY, -0.1, 3_600.1, 1e300];
    for seconds in seconds {
        assert_eq!(TargetPause::from_secs(seconds, at(0)), None, "{seconds}");
    }
    let until = |seconds| TargetPause::from_secs(seconds, at(1_000)).unwrap().until();
    assert_eq!(until(0.0), at(1_000));
    assert_eq!(until(0.2501), at(1_251));
    assert_eq!(until(3_600.0), at(3_601_000));
}
