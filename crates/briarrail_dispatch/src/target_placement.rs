//! Placement of a request over the targets of its service.
//!
//! Load pattern: a few large prompts are shared by many requests while small requests fill the
//! rest. A prompt that moves is read again at its new target, which delays the streams there; a
//! target that holds more than its part delays its own streams. Requests with much shared context
//! stay at the first target of their rendezvous order up to a loose limit, and requests with
//! little of it level the load.

use briarrail_model::{MilliDuration, MilliTime, StableHash, hash_pair};

use crate::{TargetKey, TargetRegistry, TargetState};

/// Limits of placement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementLimits {
    /// Load over the mean of the service at which a target takes no more, as a multiple.
    pub max_load_ratio: f32,
    /// Requests added to the multiple.
    pub max_load_slack: f32,
}

/// Part of the hard limit that is used, since counts of other routers are some 100 ms old.
const STALE_COUNT_MARGIN: f32 = 0.8;
/// Shared tokens from which a prompt is worth the loose limit: about 50 ms of reading.
const LARGE_PROMPT_TOKENS: u32 = 5_000;
/// Limit for small prompts, as a multiple of the mean.
const SMALL_PROMPT_LOAD_RATIO: f32 = 1.4;
/// Requests added to the limit for small prompts.
const SMALL_PROMPT_LOAD_SLACK: f32 = 2.0;
/// Targets of the rendezvous order that are tried before the least loaded one.
const MAX_PREFERRED_TARGETS: usize = 3;
const TARGET_SELECTION_SALT: StableHash = StableHash(0x6472_6177);
/// Multiple of its slots from which a target with a cache takes no more.
const MAX_PROMPT_LOAD_PER_SLOT: f32 = 3.0;
/// Multiple of its slots from which a target of plain calls takes no more: six calls' time, at which
/// those that wait are late; targets with short queues refuse sooner by themselves.
const MAX_PLAIN_LOAD_PER_SLOT: f32 = 6.0;
/// Time in which the plain calls at a target are replaced by others: three calls' work.
const PLAIN_TURNOVER: MilliDuration = MilliDuration::from_millis(100);
/// Age of counts at the time when they arrive: one round of the exchange at least.
const MIN_COUNT_LAG: MilliDuration = MilliDuration::from_millis(200);

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Placement {
    /// The target.
    pub target: TargetKey,
    /// Place of the target in the request's rendezvous order, 0 first; none without shared
    /// context.
    pub rank: Option<usize>,
    /// Load above which targets of the order were passed over.
    pub limit: f32,
}

/// What is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Service that takes the request.
    pub service: &'a str,
    /// Key of the shared context; none for plain services.
    pub affinity: Option<StableHash>,
    /// Tokens of the shared context.
    pub shared_tokens: u32,
    /// Targets that were tried before.
    pub tried: &'a [TargetKey],
    /// Seed that breaks ties between equals.
    pub seed: StableHash,
}

struct Candidate {
    key: TargetKey,
    load: f32,
    slots: f32,
    rendezvous_hash: u64,
    /// Age of the other routers' counts in the load.
    peer_count_age: MilliDuration,
}

impl TargetRegistry {
    /// Chooses the target of a request, or none when no target has room.
    ///
    /// When every target is ejected, the least loaded of them is tried rather than none.
    #[must_use]
    pub fn place(
        &self,
        request: &PlacementRequest<'_>,
        limits: &PlacementLimits,
        now: MilliTime,
    ) -> Option<Placement> {
        let available = || {
            let listed = self.service_targets(request.service);
            listed.filter(|(key, state)| state.is_available() && !request.tried.contains(key))
        };
        let mean = self.mean_load(request.service, now);
        let to_candidate = |(key, state)| new_candidate(request, key, state, now);
        let healthy = available().filter(|(_, state)| state.outlier_detector.allows_requests(now));
        let mut candidates: Vec<Candidate> = healthy.map(to_candidate).collect();
        let listed = available().count();
        if candidates.len() * 2 < listed {
            // So many failures have a common cause; only targets that are down are passed over.
            let reachable =
                available().filter(|(_, state)| !state.outlier_detector.is_unreachable(now));
            candidates = reachable.map(to_candidate).collect();
        }
        if candidates.is_empty() {
            candidates = available().map(to_candidate).collect();
        }
        match request.affinity {
            Some(_) => {
                candidates.retain(|candidate| {
                    candidate.load < candidate.slots * MAX_PROMPT_LOAD_PER_SLOT
                });
                place_by_affinity(candidates, request, limits, mean)
            }
            None => {
                damp_stale_counts(&mut candidates);
                candidates
                    .retain(|candidate| candidate.load < candidate.slots * MAX_PLAIN_LOAD_PER_SLOT);
                pick_weighted_by_headroom(&candidates, request.seed).map(|index| Placement {
                    target: candidates[index].key,
                    rank: None,
                    limit: f32::INFINITY,
                })
            }
        }
    }

    /// Returns the target that most likely keeps the shared context of a request placed at
    /// `chosen`, if `chosen` may lack it.
    ///
    /// Targets that drain, and those that answer with failures, still hand out what they keep. The first target of the rendezvous order
    /// apart from the chosen one is the home that it stands in for, or the home before it joined;
    /// targets that joined just now keep nothing yet.
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
                *key != chosen && state.can_serve_context(now) && !may_be_down
            });
        let source = others.max_by_key(|(_, state)| {
            let rendezvous_hash = hash_pair(affinity, state.hash).0;
            (state.is_warmed_up(now), rendezvous_hash)
        });
        source.map(|(key, _)| key)
    }

    /// Returns whether a service has open targets.
    #[must_use]
    pub fn has_available_target(&self, service: &str) -> bool {
        self.service_targets(service)
            .any(|(_, state)| state.is_available())
    }

    /// Returns the mean load of a service's open targets.
    #[must_use]
    pub fn mean_load(&self, service: &str, now: MilliTime) -> f32 {
        let available = self
            .service_targets(service)
            .filter(|(_, state)| state.is_available());
        let (count, sum) = available.fold((0.0, 0.0), |(count, sum), (_, state)| {
            (count + 1.0, sum + state.expected_load(now))
        });
        if count > 0.0 { sum / count } else { 0.0 }
    }
}

fn new_candidate(
    request: &PlacementRequest<'_>,
    key: TargetKey,
    state: &TargetState,
    now: MilliTime,
) -> Candidate {
    Candidate {
        key,
        load: state.expected_load(now),
        slots: state.record.slots as f32,
        rendezvous_hash: hash_pair(request.affinity.unwrap_or(request.seed), state.hash).0,
        peer_count_age: state.peer_count_age(now).unwrap_or_default(),
    }
}

fn place_by_affinity(
    mut candidates: Vec<Candidate>,
    request: &PlacementRequest<'_>,
    limits: &PlacementLimits,
    mean: f32,
) -> Option<Placement> {
    candidates.sort_unstable_by_key(|candidate| std::cmp::Reverse(candidate.rendezvous_hash));
    let large_prompt_limit =
        STALE_COUNT_MARGIN * limits.max_load_ratio.mul_add(mean, limits.max_load_slack) - 1.0;
    let small_prompt_limit = SMALL_PROMPT_LOAD_RATIO.mul_add(mean, SMALL_PROMPT_LOAD_SLACK);
    let limit = if request.shared_tokens >= LARGE_PROMPT_TOKENS {
        large_prompt_limit
    } else {
        small_prompt_limit.min(large_prompt_limit)
    };
    let mut preferred = candidates.iter().take(MAX_PREFERRED_TARGETS);
    let below_limit = preferred.position(|candidate| candidate.load <= limit);
    let index = below_limit.or_else(|| least_loaded(&candidates))?;
    Some(Placement {
        target: candidates[index].key,
        rank: Some(index),
        limit,
    })
}

/// Returns the index of the candidate with the least load for its slots.
fn least_loaded(candidates: &[Candidate]) -> Option<usize> {
    let by_load = |&index: &usize| {
        let candidate = &candidates[index];
        let relative = candidate.load / candidate.slots.max(1.0);
        ((relative * 1_000.0) as u64, candidate.rendezvous_hash)
    };
    (0..candidates.len()).min_by_key(by_load)
}

/// Moves each load towards that of all, the more the older its counts are.
///
/// Load pattern: a burst fills a few targets of plain calls, whose work lasts some 30 ms, while
/// counts are some 600 ms old. Routers that take such counts for the present load fill the target
/// that was empty then, pass over the one that was full then, and keep the wave going by themselves
/// long after the burst.
fn damp_stale_counts(candidates: &mut [Candidate]) {
    let loads_per_slot = candidates
        .iter()
        .map(|candidate| candidate.load / candidate.slots.max(1.0));
    let mean = loads_per_slot.sum::<f32>() / candidates.len().max(1) as f32;
    for candidate in candidates {
        let age = candidate.peer_count_age.as_millis() + MIN_COUNT_LAG.as_millis();
        let turnover = PLAIN_TURNOVER.as_millis();
        let confidence = turnover as f32 / (turnover + age) as f32;
        let mean_load = mean * candidate.slots;
        candidate.load = (candidate.load - mean_load).mul_add(confidence, mean_load);
    }
}

/// Draws a candidate, those with more room more often, and returns its index.
///
/// Load pattern: calls last some 30 ms while counts of other routers are some 300 ms old. If every
/// router took the target that looks least loaded, all would meet at the same one until the next
/// counts.
fn pick_weighted_by_headroom(candidates: &[Candidate], seed: StableHash) -> Option<usize> {
    let headroom = |candidate: &Candidate| {
        let part = candidate.slots / (candidate.slots + candidate.load);
        part * part
    };
    let total: f32 = candidates.iter().map(headroom).sum();
    let unit = (hash_pair(seed, TARGET_SELECTION_SALT).0 >> 40) as f32 / (1_u64 << 24) as f32;
    let mut rest = unit * total;
    for (index, candidate) in candidates.iter().enumerate() {
        rest -= headroom(candidate);
        if rest < 0.0 {
            return Some(index);
        }
    }
    candidates.len().checked_sub(1)
}
