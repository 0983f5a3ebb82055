//! Placement of a request over the targets of its service.
//!
//! Load pattern: a few large prompts are shared by many requests while small requests fill the
//! rest. A prompt that moves is read again at its new target, which delays the streams there; a
//! target that holds more than its part delays its own streams. Requests with much shared context
//! stay at the first target of their rendezvous order up to a loose limit, and requests with
//! little of it level the load.

use briarrail_model::{MilliDuration, MilliTime, StableHash, hash_pair};

use crate::{TargetBoard, TargetKey, TargetState};

/// Limits of placement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementTerms {
    /// Load over the mean of the service at which a target takes no more, as a multiple.
    pub hard_ratio: f32,
    /// Requests added to the multiple.
    pub hard_slack: f32,
}

/// Part of the hard limit that is used, since counts of other routers are some 100 ms old.
const GUARD_PART: f32 = 0.8;
/// Shared tokens from which a prompt is worth the loose limit: about 50 ms of reading.
const LARGE_PROMPT_TOKENS: u32 = 5_000;
/// Limit for small prompts, as a multiple of the mean.
const SMALL_RATIO: f32 = 1.4;
/// Requests added to the limit for small prompts.
const SMALL_SLACK: f32 = 2.0;
/// Targets of the rendezvous order that are tried before the least loaded one.
const HOME_TARGETS: usize = 3;
const DRAW_SALT: StableHash = StableHash(0x6472_6177);
/// Multiple of its slots from which a target with a cache takes no more.
const FULL_CACHE_FACTOR: f32 = 3.0;
/// Multiple of its slots from which a target of plain calls takes no more: six calls' time, at which
/// those that wait are late; targets with short queues refuse sooner by themselves.
const FULL_QUEUE_FACTOR: f32 = 6.0;
/// Time in which the plain calls at a target are replaced by others: three calls' work.
const TURNOVER: MilliDuration = MilliDuration::from_millis(100);
/// Age of counts at the time when they arrive: one round of the exchange at least.
const COUNTS_LAG: MilliDuration = MilliDuration::from_millis(200);

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
pub struct PlacementAsk<'a> {
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
    order: u64,
    /// Age of the other routers' counts in the load.
    counts_age: MilliDuration,
}

impl TargetBoard {
    /// Chooses the target of a request, or none when no target has room.
    ///
    /// When every target is ejected, the least loaded of them is tried rather than none.
    #[must_use]
    pub fn place(
        &self,
        ask: &PlacementAsk<'_>,
        terms: &PlacementTerms,
        now: MilliTime,
    ) -> Option<Placement> {
        let open = || {
            let listed = self.of_service(ask.service);
            listed.filter(|(key, state)| state.is_open() && !ask.tried.contains(key))
        };
        let mean = self.mean_load(ask.service, now);
        let weigh = |(key, state)| candidate(ask, key, state, now);
        let sound = open().filter(|(_, state)| state.guard.allows(now));
        let mut candidates: Vec<Candidate> = sound.map(weigh).collect();
        let listed = open().count();
        if candidates.len() * 2 < listed {
            // So many failures have a common cause; only targets that are down are passed over.
            let up = open().filter(|(_, state)| !state.guard.is_unreachable(now));
            candidates = up.map(weigh).collect();
        }
        if candidates.is_empty() {
            candidates = open().map(weigh).collect();
        }
        match ask.affinity {
            Some(_) => {
                candidates.retain(|one| one.load < one.slots * FULL_CACHE_FACTOR);
                place_prompt(candidates, ask, terms, mean)
            }
            None => {
                discount_old_counts(&mut candidates);
                candidates.retain(|one| one.load < one.slots * FULL_QUEUE_FACTOR);
                draw_by_room(&candidates, ask.seed).map(|index| Placement {
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
        ask: &PlacementAsk<'_>,
        chosen: TargetKey,
        now: MilliTime,
    ) -> Option<TargetKey> {
        let affinity = ask.affinity?;
        let others = self.of_service(ask.service).filter(|(key, state)| {
            let may_be_down = ask.tried.contains(key) && !state.guard.answers(now);
            *key != chosen && state.hands_out_context(now) && !may_be_down
        });
        let first = others.max_by_key(|(_, state)| {
            let order = hash_pair(affinity, state.hash).0;
            (state.is_settled(now), order)
        });
        first.map(|(key, _)| key)
    }

    /// Returns whether a service has open targets.
    #[must_use]
    pub fn has_open_target(&self, service: &str) -> bool {
        self.of_service(service).any(|(_, state)| state.is_open())
    }

    /// Returns the mean load of a service's open targets.
    #[must_use]
    pub fn mean_load(&self, service: &str, now: MilliTime) -> f32 {
        let open = self
            .of_service(service)
            .filter(|(_, state)| state.is_open());
        let (count, sum) = open.fold((0.0, 0.0), |(count, sum), (_, state)| {
            (count + 1.0, sum + state.expected_load(now))
        });
        if count > 0.0 { sum / count } else { 0.0 }
    }
}

fn candidate(
    ask: &PlacementAsk<'_>,
    key: TargetKey,
    state: &TargetState,
    now: MilliTime,
) -> Candidate {
    Candidate {
        key,
        load: state.expected_load(now),
        slots: state.row.slots as f32,
        order: hash_pair(ask.affinity.unwrap_or(ask.seed), state.hash).0,
        counts_age: state.peer_count_age(now).unwrap_or_default(),
    }
}

fn place_prompt(
    mut candidates: Vec<Candidate>,
    ask: &PlacementAsk<'_>,
    terms: &PlacementTerms,
    mean: f32,
) -> Option<Placement> {
    candidates.sort_unstable_by_key(|candidate| std::cmp::Reverse(candidate.order));
    let loose = GUARD_PART * terms.hard_ratio.mul_add(mean, terms.hard_slack) - 1.0;
    let tight = SMALL_RATIO.mul_add(mean, SMALL_SLACK);
    let limit = if ask.shared_tokens >= LARGE_PROMPT_TOKENS {
        loose
    } else {
        tight.min(loose)
    };
    let mut homes = candidates.iter().take(HOME_TARGETS);
    let home = homes.position(|candidate| candidate.load <= limit);
    let index = home.or_else(|| least_loaded(&candidates))?;
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
        ((relative * 1_000.0) as u64, candidate.order)
    };
    (0..candidates.len()).min_by_key(by_load)
}

/// Moves each load towards that of all, the more the older its counts are.
///
/// Load pattern: a burst fills a few targets of plain calls, whose work lasts some 30 ms, while
/// counts are some 600 ms old. Routers that take such counts for the present load fill the target
/// that was empty then, pass over the one that was full then, and keep the wave going by themselves
/// long after the burst.
fn discount_old_counts(candidates: &mut [Candidate]) {
    let fills = candidates.iter().map(|one| one.load / one.slots.max(1.0));
    let mean = fills.sum::<f32>() / candidates.len().max(1) as f32;
    for one in candidates {
        let age = one.counts_age.as_millis() + COUNTS_LAG.as_millis();
        let turnover = TURNOVER.as_millis();
        let trust = turnover as f32 / (turnover + age) as f32;
        let common = mean * one.slots;
        one.load = (one.load - common).mul_add(trust, common);
    }
}

/// Draws a candidate, those with more room more often, and returns its index.
///
/// Load pattern: calls last some 30 ms while counts of other routers are some 300 ms old. If every
/// router took the target that looks least loaded, all would meet at the same one until the next
/// counts.
fn draw_by_room(candidates: &[Candidate], seed: StableHash) -> Option<usize> {
    let room = |candidate: &Candidate| {
        let part = candidate.slots / (candidate.slots + candidate.load);
        part * part
    };
    let total: f32 = candidates.iter().map(room).sum();
    let unit = (hash_pair(seed, DRAW_SALT).0 >> 40) as f32 / (1_u64 << 24) as f32;
    let mut rest = unit * total;
    for (index, candidate) in candidates.iter().enumerate() {
        rest -= room(candidate);
        if rest < 0.0 {
            return Some(index);
        }
    }
    candidates.len().checked_sub(1)
}
