//! Division of a small number of requests among the routers without any message.
//!
//! All routers order the fleet in the same way for each target, and each computes its own share from
//! its rank. Shares add up to the whole as long as the routers know the same fleet. They learn of a
//! change at different times, or never while they are cut off, so that every rule here errs towards
//! smaller shares:
//!
//! - A router that vanished counts on until it can't be sending any more, so that the parts of a
//!   fleet that is cut compute the same shares.
//! - A router that has just started takes no share until the others have heard of it.
//! - A router that hears nothing assumes that many others have joined, and after a long time that
//!   its share was given to others.

use std::collections::BTreeMap;

use briarrail_model::{MilliDuration, MilliTime, StableHash, hash_pair};

use crate::RouterList;

/// Time for which a router that has started takes no share. The others read its entry from the store
/// and pass it on within less, or are cut off and have reduced their shares by then.
const JOIN_TIME: MilliDuration = MilliDuration::from_secs(8);
/// Time without contact after which a router may have missed that others joined.
const ISOLATION_TIME: MilliDuration = MilliDuration::from_secs(5);
/// Part of the whole that routers without contact divide among themselves. Those that joined since
/// take shares of others, most of which they know of.
const ISOLATED_DIVISOR: u32 = 3;
/// Time without contact after which a router takes no share, and after which one that is not listed
/// any more doesn't count; routers are removed from the list only after a long silence.
const DEPARTURE_TIME: MilliDuration = MilliDuration::from_secs(120);

/// The routers that may be sending requests, and what this one may assume about them.
#[derive(Debug, Clone, Default)]
pub struct FleetMembers {
    local: Option<StableHash>,
    /// Time at which each router was last listed.
    listed_at: BTreeMap<StableHash, MilliTime>,
    /// Time of the first complete list.
    joined_at: Option<MilliTime>,
    /// Time of the last contact with the store or another router.
    contact_at: MilliTime,
    /// Number of changes of the members.
    version: u64,
}

impl FleetMembers {
    /// Records the routers that are known now.
    pub fn observe(&mut self, list: &RouterList, now: MilliTime) {
        self.local = Some(list.local);
        if list.is_complete && self.joined_at.is_none() {
            self.joined_at = Some(now);
        }
        if list.is_in_touch {
            // The others have divided this router's share among themselves.
            if self.joined_at.is_some() && now.since(self.contact_at) > DEPARTURE_TIME {
                self.joined_at = Some(now);
            }
            self.contact_at = now;
        }
        let mut is_changed = false;
        for &router in &list.routers {
            is_changed |= self.listed_at.insert(router, now).is_none();
        }
        let before = self.listed_at.len();
        self.listed_at
            .retain(|_, &mut at| now.since(at) <= DEPARTURE_TIME);
        if is_changed || self.listed_at.len() != before {
            self.version += 1;
        }
    }

    /// Returns the number of changes of the members; ranks hold until it changes.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns this router's place, from 0, among the routers in the rendezvous order of a target.
    #[must_use]
    pub fn rank(&self, target: StableHash) -> u32 {
        let Some(local) = self.local else {
            return 0;
        };
        let own = hash_pair(target, local);
        let routers = self.listed_at.keys();
        routers
            .filter(|&&router| hash_pair(target, router) > own)
            .count() as u32
    }

    /// Returns how many of `total` requests this router may send to a target where it has a rank.
    #[must_use]
    pub fn share(&self, rank: u32, total: u32, now: MilliTime) -> u32 {
        let Some(joined_at) = self.joined_at else {
            return 0;
        };
        let silence = now.since(self.contact_at);
        if now.since(joined_at) < JOIN_TIME || silence > DEPARTURE_TIME {
            return 0;
        }
        let total = if silence > ISOLATION_TIME {
            total / ISOLATED_DIVISOR
        } else {
            total
        };
        let members = self.listed_at.len().max(1) as u32;
        total / members + u32::from(rank < total % members)
    }
}
