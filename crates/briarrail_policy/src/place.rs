//! Placement of a request.

use briarrail_model::{MilliDuration, StableHash, hash_pair};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::tier_room::TierRoom;
use crate::view_target::OpenTarget;
use crate::{
    CandidateList, InFlightCounts, PlacementDecision, PlacementRequest, PlacementView, TargetIndex,
};

const HOME_CANDIDATES: usize = 8;
const KEEP_SALT: StableHash = StableHash(0x6b65_6570);
const WAIT_STEP: MilliDuration = MilliDuration::from_millis(200);
const MIN_RETRY_AFTER: MilliDuration = MilliDuration::from_secs(1);
const MAX_RETRY_AFTER: MilliDuration = MilliDuration::from_secs(30);

/// Chooses the targets of a request.
///
/// A chat goes to the first target of its rendezvous order that keeps it; which chats a loaded
/// target keeps depends on the chat alone, so that routers with like views agree. Requests
/// without a chat, and those to targets that cache nothing, go to the less loaded of two targets
/// that `seed` picks.
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
    for tier in [&view.near, &view.far] {
        let list = place_in_tier(view, tier, chat, counts, seed);
        if !list.is_empty() {
            return PlacementDecision::Send(list);
        }
    }
    hold_back(view, request)
}

/// Places in a tier; when it has no room, asks again with what was sent since the view was made.
fn place_in_tier<C>(
    view: &PlacementView,
    tier: &[OpenTarget],
    chat: Option<StableHash>,
    counts: &C,
    seed: u64,
) -> CandidateList
where
    C: InFlightCounts + ?Sized,
{
    let place_with = |room: TierRoom<'_, C>| match chat {
        Some(chat) => place_chat(&room, tier, chat),
        None => place_anywhere(&room, tier, seed),
    };
    let list = place_with(TierRoom::new(view, counts));
    if !list.is_empty() {
        return list;
    }
    place_with(TierRoom::new(view, counts).grown(tier))
}

fn place_chat<C>(room: &TierRoom<'_, C>, tier: &[OpenTarget], chat: StableHash) -> CandidateList
where
    C: InFlightCounts + ?Sized,
{
    let order = rank_home_targets(tier, chat);
    let ranked = || order.iter().filter(|ranked| ranked.score > 0);
    let mut list = CandidateList::default();
    for ranked in ranked() {
        let draw = hash_pair(StableHash(ranked.score), KEEP_SALT);
        if unit_fraction(draw) < room.kept_part(ranked.index) {
            list.push(ranked.index);
        }
    }
    let lightest = ranked().min_by_key(|ranked| room.ordered_load(ranked.index));
    let fallback = lightest.filter(|ranked| list.is_empty() && room.has_room(ranked.index));
    if let Some(ranked) = fallback {
        list.push(ranked.index);
    }
    if list.is_empty() {
        return list;
    }
    for ranked in ranked().filter(|ranked| room.has_room(ranked.index)) {
        list.push(ranked.index);
    }
    list
}

/// A target and its rendezvous score for a chat.
#[derive(Debug, Clone, Copy, Default)]
struct RankedTarget {
    score: u64,
    index: TargetIndex,
}

/// Returns the targets with the highest scores, highest first; unused places have score 0.
fn rank_home_targets(tier: &[OpenTarget], chat: StableHash) -> [RankedTarget; HOME_CANDIDATES] {
    let mut order = [RankedTarget::default(); HOME_CANDIDATES];
    for target in tier {
        let score = hash_pair(chat, target.name).0;
        if score <= order[HOME_CANDIDATES - 1].score {
            continue;
        }
        let index = target.index;
        let mut place = HOME_CANDIDATES - 1;
        while place > 0 && order[place - 1].score < score {
            order[place] = order[place - 1];
            place -= 1;
        }
        order[place] = RankedTarget { score, index };
    }
    order
}

fn place_anywhere<C>(room: &TierRoom<'_, C>, tier: &[OpenTarget], seed: u64) -> CandidateList
where
    C: InFlightCounts + ?Sized,
{
    let mut list = CandidateList::default();
    if tier.is_empty() {
        return list;
    }
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut draws = [TargetIndex::default(); HOME_CANDIDATES];
    for draw in &mut draws {
        *draw = tier[rng.random_range(0..tier.len())].index;
    }
    for pair in draws.chunks_exact_mut(2) {
        pair.sort_by_key(|&index| room.ordered_load(index));
        for &index in pair.iter().filter(|&&index| room.has_room(index)) {
            list.push(index);
        }
    }
    list
}

fn hold_back(view: &PlacementView, request: &PlacementRequest) -> PlacementDecision {
    let remaining = view.settings.max_wait.as_millis();
    if request.waited.as_millis() < remaining {
        return PlacementDecision::Wait {
            retry_after: WAIT_STEP,
        };
    }
    PlacementDecision::Refuse {
        retry_after: expected_relief(view),
    }
}

/// Returns the time after which the least loaded target is expected below its limit.
fn expected_relief(view: &PlacementView) -> MilliDuration {
    let excess = |target: &OpenTarget| {
        let entry = &view.targets[target.index.as_usize()];
        entry.expected / entry.promise_limit.max(1.0)
    };
    let ratios = view.near.iter().chain(&view.far).map(excess);
    let least = ratios.fold(f32::INFINITY, f32::min);
    if !least.is_finite() {
        return MAX_RETRY_AFTER;
    }
    let stream_time = view.settings.stream_time.as_millis() as f32;
    let millis = (least.max(1.0).ln() * stream_time) as u64;
    let bounds = (MIN_RETRY_AFTER.as_millis(), MAX_RETRY_AFTER.as_millis());
    MilliDuration::from_millis(millis.clamp(bounds.0, bounds.1))
}

/// Maps a hash to the half-open range from 0 to 1.
fn unit_fraction(hash: StableHash) -> f32 {
    (hash.0 >> 40) as f32 / (1_u64 << 24) as f32
}
