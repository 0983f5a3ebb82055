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
    own: &'c HubCandidate,
    others: &'c [HubCandidate],
    now: MilliTime,
) -> Option<&'c HubCandidate> {
    let all = || std::iter::once(own).chain(others);
    let near = all().filter(|candidate| candidate.data_centre == own.data_centre);
    let local = first_ranked(near, now);
    let is_own = |candidate: &HubCandidate| candidate.name == own.name;
    if let Some(local) = local.filter(|local| !is_own(local)) {
        return Some(local);
    }
    first_ranked(all(), now).filter(|first| !is_own(first))
}

/// Returns the router that should read the store for one that the store fails.
#[must_use]
pub fn choose_view_source(others: &[HubCandidate], now: MilliTime) -> Option<&HubCandidate> {
    first_ranked(others.iter(), now)
}

fn first_ranked<'c, I>(candidates: I, now: MilliTime) -> Option<&'c HubCandidate>
where
    I: Iterator<Item = &'c HubCandidate>,
{
    let usable = candidates.filter(|one| one.avoided_until.is_none_or(|until| until <= now));
    usable.max_by_key(|one| (one.capacity, hash_pair(HUB_SALT, one.name.stable_hash())))
}
