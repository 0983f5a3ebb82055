//! How soon a router asks the store again after a failed call.
//!
//! Load pattern: the store is away for all, or slow. Every follower would go on asking it at the
//! pace of the reader, while each call is paid for and a store that comes back has rates to keep.

use briarrail_model::MilliDuration;

/// Pause after the first failure; the store counts and charges refused calls too.
const FIRST_PAUSE: MilliDuration = MilliDuration::from_millis(300);
/// Doublings of that pause while calls keep failing.
const MAX_DOUBLINGS: u32 = 2;
/// What each router of the fleet adds to the pause of a probe, so that twenty a second ask the
/// store, whatever the size of the fleet.
const PROBE_PAUSE_PER_ROUTER: MilliDuration = MilliDuration::from_millis(50);

/// Why a router reads the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadDuty {
    /// Others count on it, or it follows nobody.
    Reader,
    /// The view that it follows is old; the reader searches all routers for a view meanwhile.
    Probe,
}

/// Returns the pause after a number of failures in a row, in a fleet of that many routers.
#[must_use]
pub const fn retry_pause(duty: ReadDuty, failures: u32, routers: usize) -> MilliDuration {
    let doublings = failures.saturating_sub(1);
    let doublings = if doublings < MAX_DOUBLINGS {
        doublings
    } else {
        MAX_DOUBLINGS
    };
    let own = FIRST_PAUSE.as_millis() << doublings;
    let shared = match duty {
        ReadDuty::Reader => 0,
        ReadDuty::Probe => PROBE_PAUSE_PER_ROUTER.as_millis() * routers as u64,
    };
    MilliDuration::from_millis(if own > shared { own } else { shared })
}
