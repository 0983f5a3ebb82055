//! Placement of requests on targets.

use briarrail_model::{MilliDuration, StableHash, hash_pair};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::eligible_target::EligibleTarget;
use crate::tier_capacity::TierCapacity;
use crate::{
    CandidateList, InFlightCounts, PlacementDecision, PlacementRequest, PlacementView, TargetIndex,
};

/// Number of targets that are considered for one request.
const CONSIDERED_TARGETS: usize = 8;
const KEEP_SALT: StableHash = StableHash(0x6b65_6570);
const RETRY_INTERVAL: MilliDuration = MilliDuration::from_millis(200);
const MIN_RETRY_AFTER: MilliDuration = MilliDuration::from_secs(1);
const MAX_RETRY_AFTER: MilliDuration = MilliDuration::from_secs(30);

/// Chooses the targets of a request.
///
/// A chat goes to the first target of its rendezvous order that keeps it. Which chats a loaded
/// target keeps is decided by a hash of the target and the chat, so that routers with similar views
/// agree. Requests without a chat, and requests to targets that cache no contexts, go to the less
/// loaded of two random targets; `seed` determines the random choice.
#[must_use]
pub fn place<C>(
    view: &PlacementView,
    request: &PlacementRequest,
    counts: &C,
    seed: u64,
) -> PlacementDecision
where
    C: InFlightCounts + ?Sized,
{
    let chat = request.chat.filter(|_| view.settings.caches_context);
    for tier in [&view.local, &view.remote] {
        let candidates = place_in_tier(view, tier, chat, counts, seed);
        if !candidates.is_empty() {
            return PlacementDecision::Send(candidates);
        }
    }
    defer_or_refuse(view, request)
}

/// Places a request in a tier.
///
/// If no target has capacity, retries with limits raised by the growth of the mean load since the
/// view was created.
fn place_in_tier<C>(
    view: &PlacementView,
    tier: &[EligibleTarget],
    chat: Option<StableHash>,
    counts: &C,
    seed: u64,
) -> CandidateList
where
    C: InFlightCounts + ?Sized,
{
    let place_with = |capacity: TierCapacity<'_, C>| match chat {
        Some(chat) => place_chat(&capacity, tier, chat),
        None => place_least_loaded(&capacity, tier, seed),
    };
    let candidates = place_with(TierCapacity::new(view, counts));
    if !candidates.is_empty() {
        return candidates;
    }
    place_with(TierCapacity::new(view, counts).with_mean_growth(tier))
}

fn place_chat<C>(
    capacity: &TierCapacity<'_, C>,
    tier: &[EligibleTarget],
    chat: StableHash,
) -> CandidateList
where
    C: InFlightCounts + ?Sized,
{
    let order = rank_home_targets(tier, chat);
    let ranked = || order.iter().filter(|ranked| ranked.score > 0);
    let mut candidates = CandidateList::default();
    for ranked in ranked() {
        let hash = hash_pair(StableHash(ranked.score), KEEP_SALT);
        if unit_fraction(hash) < capacity.keep_fraction(ranked.index) {
            candidates.push(ranked.index);
        }
    }
    let least_loaded = ranked().min_by_key(|ranked| capacity.load_sort_key(ranked.index));
    let fallback =
        least_loaded.filter(|ranked| candidates.is_empty() && capacity.has_capacity(ranked.index));
    if let Some(ranked) = fallback {
        candidates.push(ranked.index);
    }
    if candidates.is_empty() {
        return candidates;
    }
    for ranked in ranked().filter(|ranked| capacity.has_capacity(ranked.index)) {
        candidates.push(ranked.index);
    }
    candidates
}

/// A target and its rendezvous score for a chat.
#[derive(Debug, Clone, Copy, Default)]
struct RankedTarget {
    score: u64,
    index: TargetIndex,
}

/// Returns the targets with the highest scores in descending order; unused entries have score 0.
fn rank_home_targets(
    tier: &[EligibleTarget],
    chat: StableHash,
) -> [RankedTarget; CONSIDERED_TARGETS] {
    let mut order = [RankedTarget::default(); CONSIDERED_TARGETS];
    for target in tier {
        let score = hash_pair(chat, target.name).0;
        if score <= order[CONSIDERED_TARGETS - 1].score {
            continue;
        }
        let index = target.index;
        let mut position = CONSIDERED_TARGETS - 1;
        while position > 0 && order[position - 1].score < score {
            order[position] = order[position - 1];
            position -= 1;
        }
        order[position] = RankedTarget { score, index };
    }
    order
}

/// Draws random pairs of targets and prefers the less loaded target of each pair.
fn place_least_loaded<C>(
    capacity: &TierCapacity<'_, C>,
    tier: &[EligibleTarget],
    seed: u64,
) -> CandidateList
where
    C: InFlightCounts + ?Sized,
{
    let mut candidates = CandidateList::default();
    if tier.is_empty() {
        return candidates;
    }
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut draws = [TargetIndex::default(); CONSIDERED_TARGETS];
    for draw in &mut draws {
        *draw = tier[rng.random_range(0..tier.len())].index;
    }
    for pair in draws.chunks_exact_mut(2) {
        pair.sort_by_key(|&index| capacity.load_sort_key(index));
        for &index in pair.iter().filter(|&&index| capacity.has_capacity(index)) {
            candidates.push(index);
        }
    }
    candidates
}

fn defer_or_refuse(view: &PlacementView, request: &PlacementRequest) -> PlacementDecision {
    let max_wait_ms = view.settings.max_wait.as_millis();
    if request.waited.as_millis() < max_wait_ms {
        return PlacementDecision::Wait {
            retry_after: RETRY_INTERVAL,
        };
    }
    PlacementDecision::Refuse {
        retry_after: estimated_retry_after(view),
    }
}

/// Estimates the time until the load of the least loaded target falls below its hard limit.
fn estimated_retry_after(view: &PlacementView) -> MilliDuration {
    let load_ratio = |target: &EligibleTarget| {
        let estimate = &view.targets[target.index.as_usize()];
        estimate.expected_load / estimate.hard_limit.max(1.0)
    };
    let ratios = view.local.iter().chain(&view.remote).map(load_ratio);
    let lowest = ratios.fold(f32::INFINITY, f32::min);
    if !lowest.is_finite() {
        return MAX_RETRY_AFTER;
    }
    let stream_time = view.settings.stream_time.as_millis() as f32;
    let millis = (lowest.max(1.0).ln() * stream_time) as u64;
    let bounds = (MIN_RETRY_AFTER.as_millis(), MAX_RETRY_AFTER.as_millis());
    MilliDuration::from_millis(millis.clamp(bounds.0, bounds.1))
}

/// Maps a hash to the range from 0 (inclusive) to 1 (exclusive).
fn unit_fraction(hash: StableHash) -> f32 {
    (hash.0 >> 40) as f32 / (1_u64 << 24) as f32
}
