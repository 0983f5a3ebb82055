//! Which router reads the store for the others.
//!
//! Load pattern: every call to the store is paid for, a waiting watch as well, and the store's
//! rates grow more slowly than the fleet; hosts with narrow links can't feed many others. One
//! router reads the store, one of each data centre follows it, and the rest follow that one.

use briarrail_model::{DataCentre, HostName, MilliTime, StableHash, hash_pair};

const HUB_SALT: StableHash = StableHash(0x6875_6273);

/// A router that others may follow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HubCandidate {
    /// Name of the router.
    pub name: HostName,
    /// Data centre of the router.
    pub data_centre: DataCentre,
    /// What its host can carry, in steps of a factor of two.
    pub capacity: u8,
    /// Until when it is passed over, after it was silent or its view was old.
    pub avoided_until: Option<MilliTime>,
}

/// Returns the router that `own` should follow, or none when it should read the store itself.
///
/// Routers with like lists choose alike; a router that is avoided gives its place to the next. A
/// router only follows one that ranks higher, so that no two follow each other.
#[must_use]
pub fn choose_hub<'c>(
    local: &'c HubCandidate,
    others: &'c [HubCandidate],
    now: MilliTime,
) -> Option<&'c HubCandidate> {
    let all = || std::iter::once(local).chain(others);
    let in_data_centre = all().filter(|candidate| candidate.data_centre == local.data_centre);
    let local_hub = highest_ranked(in_data_centre, now);
    let is_local = |candidate: &HubCandidate| candidate.name == local.name;
    if let Some(hub) = local_hub.filter(|hub| !is_local(hub)) {
        return Some(hub);
    }
    highest_ranked(all(), now).filter(|highest| !is_local(highest))
}

/// Returns the routers that should read the store for one that the store fails, best first.
///
/// Load pattern: the store turns a part of the routers away, the reader and those that rank next
/// among them; asked one after the other, each would cost a time limit.
#[must_use]
pub fn choose_view_sources(
    others: &[HubCandidate],
    max_sources: usize,
    now: MilliTime,
) -> Vec<&HubCandidate> {
    let eligible = others
        .iter()
        .filter(|candidate| is_eligible(candidate, now));
    let mut ranked: Vec<&HubCandidate> = eligible.collect();
    ranked.sort_by_key(|candidate| std::cmp::Reverse(rank(candidate)));
    ranked.truncate(max_sources);
    ranked
}

fn is_eligible(candidate: &HubCandidate, now: MilliTime) -> bool {
    candidate.avoided_until.is_none_or(|until| until <= now)
}

fn rank(candidate: &HubCandidate) -> (u8, StableHash) {
    let hash = hash_pair(HUB_SALT, candidate.name.stable_hash());
    (candidate.capacity, hash)
}

fn highest_ranked<'c, I>(candidates: I, now: MilliTime) -> Option<&'c HubCandidate>
where
    I: Iterator<Item = &'c HubCandidate>,
{
    let eligible = candidates.filter(|candidate| is_eligible(candidate, now));
    eligible.max_by_key(|candidate| rank(candidate))
}
