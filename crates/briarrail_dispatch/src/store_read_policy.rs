//! Decides whether a router reads the store and how long it waits after a failed call.
//!
//! While the store is slow or unavailable to all routers, every follower would otherwise poll it as
//! often as the reader does. Each call is billed, and a recovering store enforces its rate limits.

use briarrail_model::MilliDuration;

/// Delay after the first failure; the store counts and bills rejected calls too.
const INITIAL_RETRY_DELAY: MilliDuration = MilliDuration::from_millis(300);
/// Maximum number of times the delay doubles while calls keep failing.
const MAX_DOUBLINGS: u32 = 2;
/// Probe delay per router of the fleet; limits probes to twenty per second for a fleet of any size.
const PROBE_DELAY_PER_ROUTER: MilliDuration = MilliDuration::from_millis(50);

/// Age of a followed view above which a router reads the store itself. With the time of a read it is less
/// than the shortest drain of a site, after which a target that drains may get no request; with two
/// syncs at the longest interval, a view that is kept up is younger.
const MAX_FOLLOWED_VIEW_AGE: MilliDuration = MilliDuration::from_millis(1_700);
/// Uptime after which a router that is not listed yet assumes that it is alone.
const MAX_LISTING_WAIT: MilliDuration = MilliDuration::from_millis(1_000);

/// Why a router reads the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadReason {
    /// It has not read the store yet. A view that is some seconds old suffices, because it should
    /// become ready soon.
    Initial,
    /// Other routers depend on its view, or it has no router to follow.
    Reader,
    /// The view that it follows is outdated; the reader meanwhile asks other routers for a newer
    /// one.
    Probe,
}

/// Inputs of the decision whether a router reads the store.
///
/// When all routers start at once without a configuration, or lose the store at once, each reads
/// the store only once. After that only the selected router reads it, which the others can
/// determine as soon as the router list contains their own entries. A follower probes the store
/// only while the view that it follows is outdated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadConditions {
    /// Whether it has read the store before.
    pub has_read: bool,
    /// Whether the router list contains its own entry, and therefore those of the others.
    pub is_listed: bool,
    /// Time since the router started.
    pub uptime: MilliDuration,
    /// Whether there is a router that it can follow.
    pub has_hub: bool,
    /// Whether another router recently requested its view.
    pub is_view_requested: bool,
    /// Age of the router's view.
    pub view_age: MilliDuration,
}

impl ReadConditions {
    /// Returns whether the other routers are known, or the router can assume that it is alone.
    #[must_use]
    pub fn is_membership_known(&self) -> bool {
        self.is_listed || self.uptime > MAX_LISTING_WAIT
    }

    /// Returns why the router should read the store now, or `None` if another router does.
    #[must_use]
    pub fn read_reason(&self) -> Option<ReadReason> {
        if !self.has_read {
            return Some(ReadReason::Initial);
        }
        if !self.is_membership_known() {
            return None;
        }
        if self.is_view_requested || !self.has_hub {
            return Some(ReadReason::Reader);
        }
        (self.view_age > MAX_FOLLOWED_VIEW_AGE).then_some(ReadReason::Probe)
    }
}

/// Returns the delay before the next call, given the number of consecutive failures and the number
/// of routers in the fleet.
#[must_use]
pub const fn retry_delay(reason: ReadReason, failures: u32, routers: usize) -> MilliDuration {
    let doublings = failures.saturating_sub(1);
    let doublings = if doublings < MAX_DOUBLINGS {
        doublings
    } else {
        MAX_DOUBLINGS
    };
    let backoff = INITIAL_RETRY_DELAY.as_millis() << doublings;
    let probe_delay = match reason {
        ReadReason::Initial | ReadReason::Reader => 0,
        ReadReason::Probe => PROBE_DELAY_PER_ROUTER.as_millis() * routers as u64,
    };
    MilliDuration::from_millis(if backoff > probe_delay {
        backoff
    } else {
        probe_delay
    })
}
