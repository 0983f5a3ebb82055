//! Which load records are worth publishing.

use briarrail_model::{LoadRecord, MilliDuration};

/// Largest pool of which every change is published, in targets.
const SMALL_POOL: usize = 64;

/// Tells which load records change a decision, so that only these travel between routers.
///
/// A target that enters the zone of loads at which chats are shed is published, then at each
/// step, and once more when it is back at the mean.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PublishPolicy {
    /// Multiple of the mean from which on a target may shed chats.
    pub enter_ratio: f32,
    /// Multiple of the mean at which a target has left the zone.
    pub exit_ratio: f32,
    /// Least change within the zone, as a part of the mean.
    pub min_change_ratio: f32,
    /// Longest time without a record.
    pub heartbeat: MilliDuration,
}

impl PublishPolicy {
    /// Returns the rule for a pool with a number of targets, over all that a router sends to.
    ///
    /// A small pool publishes every change; a large one keeps to the control budget.
    #[must_use]
    pub fn for_targets(targets: usize) -> Self {
        if targets <= SMALL_POOL {
            return Self {
                enter_ratio: 0.0,
                exit_ratio: 0.0,
                min_change_ratio: 0.04,
                heartbeat: MilliDuration::from_secs(10),
            };
        }
        Self {
            enter_ratio: 1.13,
            exit_ratio: 1.0,
            min_change_ratio: 0.10,
            heartbeat: MilliDuration::from_secs(90),
        }
    }

    /// Returns whether an observation is to be published after the last published one.
    ///
    /// `mean` is the mean load of the target's pool and region, in streams.
    #[must_use]
    pub fn should_publish(&self, last: Option<&LoadRecord>, next: &LoadRecord, mean: f32) -> bool {
        let Some(last) = last else {
            return true;
        };
        let edge = self.enter_ratio * mean;
        let was_in_zone = last.streams as f32 >= edge;
        let is_in_zone = next.streams as f32 >= edge;
        let change = next.streams.abs_diff(last.streams) as f32;
        let moved = is_in_zone && (!was_in_zone || change >= self.min_change_ratio * mean);
        let left = was_in_zone && next.streams as f32 <= self.exit_ratio * mean;
        let stale = next.version.since(last.version) >= self.heartbeat;
        stale || moved || left || next.keep_share != last.keep_share
    }
}
