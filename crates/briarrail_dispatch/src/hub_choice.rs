//! Selects the router that reads the store on behalf of the others.
//!
//! Every store call is billed, including a pending watch, and the store's rate limits grow more
//! slowly than the fleet. Hosts with narrow links cannot serve many followers. One router therefore
//! reads the store, one router in each data centre follows it, and the other routers follow the one
//! in their data centre.

use briarrail_model::{DataCentre, HostName, MilliTime, StableHash, hash_pair};

const HUB_SALT: StableHash = StableHash(0x6875_6273);

/// A router that others can follow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HubCandidate {
    /// Host name of the router.
    pub name: HostName,
    /// Data centre in which the router runs.
    pub data_centre: DataCentre,
    /// Network capacity of its host, on a scale where each step doubles it.
    pub capacity: u8,
    /// End of the period in which it is skipped because it was unresponsive or its view was
    /// outdated.
    pub avoided_until: Option<MilliTime>,
}

/// Returns the router that `local` should follow, or `None` if it should read the store itself.
///
/// Routers with the same candidate lists make the same choice; a candidate that is being avoided is
/// replaced by the next in rank. A router only follows one with a higher rank, so that no two
/// routers follow each other.
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

/// Returns the routers to ask for their view while the local router cannot read the store, highest
/// rank first.
///
/// The store may reject only some of the routers, possibly the reader and those ranked next. Asking
/// several routers at once avoids waiting for a timeout on each in turn.
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
