//! Whether a router reads the store, and how soon it asks again after a failed call.
//!
//! Load pattern: the store is away for all, or slow. Every follower would go on asking it at the
//! pace of the reader, while each call is paid for and a store that comes back has rates to keep.

use briarrail_model::MilliDuration;

/// Pause after the first failure; the store counts and charges refused calls too.
const INITIAL_RETRY_DELAY: MilliDuration = MilliDuration::from_millis(300);
/// Doublings of that pause while calls keep failing.
const MAX_DOUBLINGS: u32 = 2;
/// What each router of the fleet adds to the pause of a probe, so that twenty a second ask the
/// store, whatever the size of the fleet.
const PROBE_DELAY_PER_ROUTER: MilliDuration = MilliDuration::from_millis(50);

/// Age of a followed view from which a router reads the store itself: by then the followed router
/// has tried several others.
const MAX_FOLLOWED_VIEW_AGE: MilliDuration = MilliDuration::from_millis(3_000);
/// Time from the start after which a router that is not listed yet takes itself for alone.
const MAX_LISTING_WAIT: MilliDuration = MilliDuration::from_millis(1_000);

/// Why a router reads the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadReason {
    /// It has not read yet, and wants to be ready soon; what is some seconds old will do.
    Initial,
    /// Others count on it, or it follows nobody.
    Reader,
    /// The view that it follows is old; the reader searches all routers for a view meanwhile.
    Probe,
}

/// What decides whether a router reads the store.
///
/// Load pattern: all routers start at once, before there is a configuration, or lose the store at
/// once. Each reads once, at little cost, and leaves the rest to the one that it follows, which it
/// knows once the list shows its own entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadConditions {
    /// Whether it asked before.
    pub has_read: bool,
    /// Whether the list of routers shows its own entry, and so the others.
    pub is_listed: bool,
    /// Time since its start.
    pub uptime: MilliDuration,
    /// Whether there is a router for it to follow.
    pub has_hub: bool,
    /// Whether another router asked for its view just now.
    pub is_view_requested: bool,
    /// Age of its view.
    pub view_age: MilliDuration,
}

impl ReadConditions {
    /// Returns whether the other routers are known, or this one takes itself for alone.
    #[must_use]
    pub fn is_membership_known(&self) -> bool {
        self.is_listed || self.uptime > MAX_LISTING_WAIT
    }

    /// Returns why the router reads the store now; none when it leaves that to another.
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

/// Returns the pause after a number of failures in a row, in a fleet of that many routers.
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
