//! Decides when the hub of a data centre makes itself known to a router that it does not hear from.
//!
//! A router that restarts knows the other routers only from the store. If the store turns it away
//! while it serves others, it has no router to follow and stays without a configuration, although
//! the others list it. The hub of its data centre therefore calls it, so that it can follow the hub.

use briarrail_model::{MilliDuration, MilliTime};

/// Time without a message of a listed router after which it is called; more than the longest time
/// between two syncs of a follower.
const MAX_SILENCE: MilliDuration = MilliDuration::from_millis(1_000);
/// Delay between the first two calls; doubles with each further call, since most routers that stay
/// silent are gone.
const INITIAL_GREETING_DELAY: MilliDuration = MilliDuration::from_millis(1_000);
/// Maximum number of times that the delay doubles.
const MAX_DOUBLINGS: u32 = 5;

/// What a hub knows of the silence of a listed router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GreetingState {
    /// Time of the last message from the router, or of its first listing.
    pub heard_at: MilliTime,
    /// Time of the last call since then.
    pub greeted_at: Option<MilliTime>,
    /// Number of calls since then.
    pub greetings: u32,
}

impl GreetingState {
    /// Creates the state of a router that was heard, or listed for the first time.
    #[must_use]
    pub const fn heard(at: MilliTime) -> Self {
        Self {
            heard_at: at,
            greeted_at: None,
            greetings: 0,
        }
    }

    /// Returns whether to call the router now.
    #[must_use]
    pub fn is_due(&self, now: MilliTime) -> bool {
        let doublings = self.greetings.saturating_sub(1).min(MAX_DOUBLINGS);
        let delay_ms = INITIAL_GREETING_DELAY.as_millis() << doublings;
        let is_waiting = |at: MilliTime| now.since(at).as_millis() < delay_ms;
        now.since(self.heard_at) >= MAX_SILENCE && !self.greeted_at.is_some_and(is_waiting)
    }

    /// Records a call.
    pub const fn record_greeting(&mut self, now: MilliTime) {
        self.greeted_at = Some(now);
        self.greetings += 1;
    }
}
