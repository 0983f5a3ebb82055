//! Placement of requests on the targets of a service.
//!
//! A few large prompts are shared by many requests, and small requests make up the rest of the
//! load. Moving a prompt to another target means processing it again, which delays the streams at
//! that target; a target with more than its share of the load delays its own streams. Requests with
//! a large shared context therefore stay at the first target of their rendezvous order up to a high
//! load limit, while requests with little shared context even out the load.

use std::ops::Add;

use briarrail_model::{MilliDuration, MilliTime, StableHash, hash_pair};

use crate::service_time_meter::SlotUse;
use crate::{
    CompletionBasis, SendDenial, SendNeed, ServiceCapacity, TargetKey, TargetRegistry, TargetState,
};

/// Load limits for placement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementLimits {
    /// Multiple of the service's mean load at which a target takes no more requests.
    pub max_load_ratio: f32,
    /// Number of requests added to that multiple.
    pub max_load_slack: f32,
}

/// Fraction of the load limit that is used, because the counts of other routers are about 100 ms
/// old.
const LOAD_LIMIT_FRACTION: f32 = 0.8;
/// Minimum shared tokens for the higher load limit; about 50 ms of prompt processing.
const LARGE_PROMPT_TOKENS: u32 = 5_000;
/// Load limit for small prompts, as a multiple of the mean load.
const SMALL_PROMPT_LOAD_RATIO: f32 = 1.4;
/// Number of requests added to the load limit for small prompts.
const SMALL_PROMPT_LOAD_SLACK: f32 = 2.0;
/// Number of targets in rendezvous order that keep a prompt. Beyond that, small prompts go to the least
/// loaded target; reading a large one again costs more than the wait that it saves, unless slots are free.
const MAX_PREFERRED_TARGETS: usize = 2;
/// Load per slot up to which a target reads large prompts that others keep.
const MAX_SPREAD_LOAD_PER_SLOT: f32 = 0.5;
const TARGET_SELECTION_SALT: StableHash = StableHash(0x6472_6177);
/// Load per slot at which a target with a prompt cache takes no more requests; covers the spread of the
/// counts, so that no slot stays idle.
const MAX_PROMPT_LOAD_PER_SLOT: f32 = 1.25;
/// Maximum load per slot at which a target of plain calls takes no more requests.
const MAX_PLAIN_LOAD_PER_SLOT: f32 = 6.0;
/// Minimum of that load for a service whose calls take longer than half their objective.
const MIN_PLAIN_LOAD_PER_SLOT: f32 = 2.0;
/// Minimum of that load for one target that is much slower than the others, so that its recovery is
/// noticed.
const MIN_SLOW_LOAD_PER_SLOT: f32 = 1.0;
/// Number of requests with the mean service time that are added to those that a target completed.
const MEAN_TIME_REQUESTS: f32 = 20.0;
/// Number of service times in which the plain calls at a target are replaced by new ones.
const TURNOVER_SERVICE_TIMES: f32 = 3.0;
/// Service time of plain calls until it is measured, as a fraction of their objective.
const INITIAL_SERVICE_TIME_RATIO: f32 = 0.2;
/// Minimum age of peer counts when they arrive: one round of the exchange.
const MIN_COUNT_LAG: MilliDuration = MilliDuration::from_millis(200);

/// Result of placing a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Placement {
    /// The selected target.
    pub target: TargetKey,
    /// Position of the target in the request's rendezvous order, starting at 0; `None` without
    /// shared context.
    pub rank: Option<usize>,
    /// Load above which targets in rendezvous order were skipped.
    pub limit: f32,
}

/// A request to be placed.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Service that handles the request.
    pub service: &'a str,
    /// Key of the shared context; `None` for plain services.
    pub affinity: Option<StableHash>,
    /// Size of the shared context in tokens.
    pub shared_tokens: u32,
    /// Targets that were already tried.
    pub tried: &'a [TargetKey],
    /// Seed for the selection among targets without shared context.
    pub seed: StableHash,
    /// Latency objective of the request.
    pub objective: MilliDuration,
    /// What the request needs of its target.
    pub need: SendNeed<'a>,
}

struct Candidate {
    key: TargetKey,
    load: f32,
    slots: f32,
    rendezvous_hash: u64,
    /// Age of the peer counts that the load includes.
    peer_count_age: MilliDuration,
    /// Mean time for which a request occupies a slot.
    service_time_ms: f32,
    /// Service time of all targets together, relative to that of this one.
    speed: f32,
}

impl Candidate {
    /// Returns whether reading a large prompt again would delay few other requests.
    fn has_free_slots(&self) -> bool {
        self.load < self.slots * MAX_SPREAD_LOAD_PER_SLOT
    }

    /// Returns whether a prompt would begin soon.
    fn takes_prompts(&self) -> bool {
        self.load < self.slots * MAX_PROMPT_LOAD_PER_SLOT
    }

    /// Returns whether a plain call would wait for less than a time.
    fn has_room(&self, max_time_ms: f32) -> bool {
        let service_times = max_time_ms / self.service_time_ms;
        let max_load_per_slot =
            service_times.clamp(MIN_SLOW_LOAD_PER_SLOT, MAX_PLAIN_LOAD_PER_SLOT);
        self.load < self.slots * max_load_per_slot
    }
}

impl TargetRegistry {
    /// Selects the target of a request, or `None` if no target has capacity.
    ///
    /// If every target is ejected, the request still goes to one of them that has capacity.
    #[must_use]
    pub fn place(
        &self,
        request: &PlacementRequest<'_>,
        limits: &PlacementLimits,
        now: MilliTime,
    ) -> Option<Placement> {
        let mean = self.mean_load(request.service, now);
        let usable = self.usable_targets(request.service, request.tried, &request.need, now);
        let initial_ms = request.objective.as_millis() as f32 * INITIAL_SERVICE_TIME_RATIO;
        let basis = CompletionBasis::Outcomes;
        let measured_ms = mean_service_time_ms(&usable, basis);
        let mean_time_ms = measured_ms.unwrap_or(initial_ms).max(1.0);
        let to_candidate = |(key, state)| {
            let service_time_ms = measured_ms.map_or(mean_time_ms, |mean_ms| {
                target_service_time_ms(state, mean_ms, basis)
            });
            Candidate {
                key,
                load: state.expected_load(now),
                slots: state.record.slots as f32,
                rendezvous_hash: hash_pair(request.affinity.unwrap_or(request.seed), state.hash).0,
                peer_count_age: state.peer_count_age(now).unwrap_or_default(),
                service_time_ms,
                speed: mean_time_ms / service_time_ms,
            }
        };
        let mut candidates: Vec<Candidate> = usable.into_iter().map(to_candidate).collect();
        match request.affinity {
            Some(_) => place_by_affinity(candidates, request, limits, mean),
            None => {
                damp_stale_counts(&mut candidates, TURNOVER_SERVICE_TIMES * mean_time_ms);
                let objective_ms = request.objective.as_millis() as f32;
                let max_time_ms = objective_ms.max(MIN_PLAIN_LOAD_PER_SLOT * mean_time_ms);
                candidates.retain(|candidate| candidate.has_room(max_time_ms));
                pick_weighted_by_headroom(&candidates, request.seed).map(|index| Placement {
                    target: candidates[index].key,
                    rank: None,
                    limit: f32::INFINITY,
                })
            }
        }
    }

    /// Returns the target that most likely caches the shared context of a request placed at
    /// `chosen`, if another target may have it.
    ///
    /// Draining targets, those of an evacuated data centre and targets that respond with failures
    /// can still serve cached context, but none outside the homes of the request. The first target in rendezvous order other than `chosen` is either the usual target, which
    /// `chosen` replaces, or the usual target from before `chosen` joined. Targets that were listed
    /// only recently have nothing cached yet and come last.
    #[must_use]
    pub fn context_source(
        &self,
        request: &PlacementRequest<'_>,
        chosen: TargetKey,
        now: MilliTime,
    ) -> Option<TargetKey> {
        let affinity = request.affinity?;
        let others = self
            .service_targets(request.service)
            .filter(|(key, state)| {
                let may_be_down =
                    request.tried.contains(key) && !state.outlier_detector.responded_recently(now);
                let is_home = request
                    .need
                    .homes
                    .is_none_or(|homes| homes.contains(&state.record.data_centre));
                *key != chosen && state.can_serve_context(now) && !may_be_down && is_home
            });
        let source = others.max_by_key(|(_, state)| {
            let rendezvous_hash = hash_pair(affinity, state.hash).0;
            (state.is_warmed_up(now), rendezvous_hash)
        });
        source.map(|(key, _)| key)
    }

    /// Returns the slots, load and throughput of the targets that may receive a service's requests.
    #[must_use]
    pub fn service_capacity(
        &self,
        service: &str,
        basis: CompletionBasis,
        now: MilliTime,
    ) -> ServiceCapacity {
        let targets = self.usable_targets(service, &[], &SendNeed::ANY, now);
        let mut capacity = ServiceCapacity {
            service_time_ms: mean_service_time_ms(&targets, basis),
            ..ServiceCapacity::default()
        };
        for (_, state) in &targets {
            let slots = state.record.slots as f32;
            capacity.slots += slots;
            capacity.load += state.expected_load(now);
            let age = state.peer_count_age(now).unwrap_or_default();
            capacity.load_age = capacity.load_age.max(peer_count_lag(age));
            if let Some(mean_ms) = capacity.service_time_ms {
                let executed = slots * 1_000.0 / target_service_time_ms(state, mean_ms, basis);
                let limit = state.rate_limit(now).unwrap_or(f32::INFINITY);
                capacity.requests_per_s += executed.min(limit);
            }
        }
        capacity
    }

    /// Returns the targets that may get a request and are not ejected.
    ///
    /// If more than half are ejected, their failures have a common cause, and only unreachable ones
    /// are left out; if every one is, all are returned.
    fn usable_targets(
        &self,
        service: &str,
        excluded: &[TargetKey],
        need: &SendNeed<'_>,
        now: MilliTime,
    ) -> Vec<(TargetKey, &TargetState)> {
        let available: Vec<_> = self
            .service_targets(service)
            .filter(|(key, state)| !excluded.contains(key) && state.denial(need, now).is_none())
            .collect();
        let mut usable = available.clone();
        usable.retain(|(_, state)| state.outlier_detector.allows_requests(now));
        if usable.len() * 2 < available.len() {
            usable.clone_from(&available);
            usable.retain(|(_, state)| !state.outlier_detector.is_unreachable(now));
        }
        if usable.is_empty() { available } else { usable }
    }

    /// Returns why no target of a service may get a request, or `None` if one may.
    ///
    /// Of several reasons it is the one that passes soonest, and [`SendDenial::Gone`] without any
    /// target.
    #[must_use]
    pub fn service_denial(
        &self,
        service: &str,
        need: &SendNeed<'_>,
        now: MilliTime,
    ) -> Option<SendDenial> {
        let mut soonest = SendDenial::Gone;
        for (_, state) in self.service_targets(service) {
            let denial = state.denial(need, now)?;
            if soonest == SendDenial::Gone || denial.passes_before(soonest) {
                soonest = denial;
            }
        }
        Some(soonest)
    }

    /// Returns the mean load of a service's available targets.
    ///
    /// Targets that limit their rate or are cold hold less than the others, and are left out unless
    /// all do.
    #[must_use]
    pub fn mean_load(&self, service: &str, now: MilliTime) -> f32 {
        let cold_terms = self.cold_terms(service);
        let is_limited = |state: &TargetState| {
            let is_bounded = |terms| state.cold_limiter.is_bounded(terms, now);
            state.rate_limit(now).is_some() || cold_terms.is_some_and(is_bounded)
        };
        let targets = self.service_targets(service).map(|(_, state)| state);
        let available: Vec<_> = targets.filter(|state| state.is_available(now)).collect();
        let unlimited = available.iter().filter(|state| !is_limited(state));
        mean_of(unlimited.map(|state| state.expected_load(now)))
            .or_else(|| mean_of(available.iter().map(|state| state.expected_load(now))))
            .unwrap_or_default()
    }
}

/// Returns the mean of some numbers, or `None` if there are none.
fn mean_of<I>(numbers: I) -> Option<f32>
where
    I: Iterator<Item = f32>,
{
    let (count, sum) = numbers.fold((0.0, 0.0), |(count, sum), number| {
        (count + 1.0, sum + number)
    });
    (count > 0.0).then(|| sum / count)
}

/// Returns the mean time for which a request occupies a slot of some targets, in milliseconds, or
/// `None` if it is not measured yet.
fn mean_service_time_ms(
    targets: &[(TargetKey, &TargetState)],
    basis: CompletionBasis,
) -> Option<f32> {
    let uses = targets.iter().map(|(_, state)| state.slot_use());
    uses.fold(SlotUse::default(), SlotUse::add)
        .service_time_ms(basis)
}

/// Returns the service time of one target, which counts as the mean of all targets until it has
/// completed a number of requests.
fn target_service_time_ms(state: &TargetState, mean_ms: f32, basis: CompletionBasis) -> f32 {
    let measured = state.slot_use();
    let busy_ms = MEAN_TIME_REQUESTS.mul_add(mean_ms, measured.busy_ms);
    (busy_ms / (MEAN_TIME_REQUESTS + measured.requests(basis))).max(1.0)
}

fn place_by_affinity(
    mut candidates: Vec<Candidate>,
    request: &PlacementRequest<'_>,
    limits: &PlacementLimits,
    mean: f32,
) -> Option<Placement> {
    candidates.sort_unstable_by_key(|candidate| std::cmp::Reverse(candidate.rendezvous_hash));
    let large_prompt_limit =
        LOAD_LIMIT_FRACTION * limits.max_load_ratio.mul_add(mean, limits.max_load_slack) - 1.0;
    let small_prompt_limit = SMALL_PROMPT_LOAD_RATIO.mul_add(mean, SMALL_PROMPT_LOAD_SLACK);
    let limit = if request.shared_tokens >= LARGE_PROMPT_TOKENS {
        large_prompt_limit
    } else {
        small_prompt_limit.min(large_prompt_limit)
    };
    let mut preferred = candidates.iter().take(MAX_PREFERRED_TARGETS);
    let below_limit =
        preferred.position(|candidate| candidate.load <= limit && candidate.takes_prompts());
    let index = below_limit.or_else(|| {
        let is_large = request.shared_tokens >= LARGE_PROMPT_TOKENS;
        least_loaded(&candidates).filter(|&index| !is_large || candidates[index].has_free_slots())
    })?;
    Some(Placement {
        target: candidates[index].key,
        rank: Some(index),
        limit,
    })
}

/// Returns the index of the candidate with the lowest load per slot that takes prompts.
fn least_loaded(candidates: &[Candidate]) -> Option<usize> {
    let by_load = |&index: &usize| {
        let candidate = &candidates[index];
        let load_per_slot = candidate.load / candidate.slots.max(1.0);
        ((load_per_slot * 1_000.0) as u64, candidate.rendezvous_hash)
    };
    let takes_prompts = |&index: &usize| candidates[index].takes_prompts();
    (0..candidates.len())
        .filter(takes_prompts)
        .min_by_key(by_load)
}

/// Moves each load towards the mean, further for older peer counts.
///
/// Plain calls last some tens of milliseconds, while peer counts can be 600 ms old. After a burst
/// fills a few targets, routers that treat old counts as the current load fill the target that was
/// empty then and avoid the one that was full then. That oscillation would sustain itself long after
/// the burst.
fn damp_stale_counts(candidates: &mut [Candidate], turnover_ms: f32) {
    let loads_per_slot = candidates
        .iter()
        .map(|candidate| candidate.load / candidate.slots.max(1.0));
    let mean = loads_per_slot.sum::<f32>() / candidates.len().max(1) as f32;
    for candidate in candidates {
        let lag = peer_count_lag(candidate.peer_count_age).as_millis();
        let confidence = turnover_ms / (turnover_ms + lag as f32);
        let mean_load = mean * candidate.slots;
        candidate.load = (candidate.load - mean_load).mul_add(confidence, mean_load);
    }
}

/// Returns how long ago peer counts were taken that arrived `age` ago.
const fn peer_count_lag(age: MilliDuration) -> MilliDuration {
    MilliDuration::from_millis(age.as_millis() + MIN_COUNT_LAG.as_millis())
}

/// Selects a random candidate, weighted by its free capacity, and returns its index.
///
/// Plain calls last some tens of milliseconds, while the counts of other routers are about 300 ms old.
/// If every router selected the least loaded target, all would send to the same one until the next
/// exchange.
fn pick_weighted_by_headroom(candidates: &[Candidate], seed: StableHash) -> Option<usize> {
    let headroom = |candidate: &Candidate| {
        let capacity = candidate.slots * candidate.speed;
        let free_share = capacity / (capacity + candidate.load);
        capacity * free_share * free_share
    };
    let total: f32 = candidates.iter().map(headroom).sum();
    let fraction = (hash_pair(seed, TARGET_SELECTION_SALT).0 >> 40) as f32 / (1_u64 << 24) as f32;
    let mut remaining = fraction * total;
    for (index, candidate) in candidates.iter().enumerate() {
        remaining -= headroom(candidate);
        if remaining < 0.0 {
            return Some(index);
        }
    }
    candidates.len().checked_sub(1)
}
