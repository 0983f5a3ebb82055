//! Which router reads the store for the others.
//!
//! Load pattern: every call to the store is paid for, a waiting watch as well, and the store's
//! rates grow more slowly than the fleet. One router watches and the others ask it.

use briarrail_model::{HostName, MilliTime, StableHash, hash_pair};

const HUB_SALT: StableHash = StableHash(0x6875_6273);

/// A router that may serve as the hub.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HubCandidate {
    /// Name of the router.
    pub name: HostName,
    /// Until when it is passed over, after it was silent or its view was old.
    pub avoided_until: Option<MilliTime>,
}

/// Returns the index of the router that all others should ask.
///
/// Routers with like lists choose alike; a router that is avoided gives its place to the next.
#[must_use]
pub fn choose_hub<'c, I>(candidates: I, now: MilliTime) -> Option<usize>
where
    I: IntoIterator<Item = &'c HubCandidate>,
{
    let scored = candidates.into_iter().enumerate();
    scored
        .filter(|(_, candidate)| candidate.avoided_until.is_none_or(|until| until <= now))
        .max_by_key(|(_, candidate)| hash_pair(HUB_SALT, candidate.name.stable_hash()))
        .map(|(index, _)| index)
}
