//! Which load records are worth publishing.

use briarrail_model::{LoadRecord, MilliDuration};

/// Tells which load records change a decision, so that only these travel between routers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PublishRule {
    /// Multiple of the mean from which on a target may shed chats.
    pub zone_ratio: f32,
    /// Least change within the zone, as a part of the mean.
    pub zone_step: f32,
    /// Longest time without a record.
    pub heartbeat: MilliDuration,
}

impl Default for PublishRule {
    fn default() -> Self {
        Self {
            zone_ratio: 1.10,
            zone_step: 0.02,
            heartbeat: MilliDuration::from_secs(60),
        }
    }
}

impl PublishRule {
    /// Returns whether an observation is to be published after the last published one.
    ///
    /// `mean` is the mean load of the target's pool and region, in streams.
    #[must_use]
    pub fn is_due(&self, last: Option<&LoadRecord>, next: &LoadRecord, mean: f32) -> bool {
        let Some(last) = last else {
            return true;
        };
        let edge = self.zone_ratio * mean;
        let was_in_zone = last.streams as f32 >= edge;
        let is_in_zone = next.streams as f32 >= edge;
        let change = next.streams.abs_diff(last.streams) as f32;
        let stale = next.version.since(last.version) >= self.heartbeat;
        let changed = is_in_zone && change >= self.zone_step * mean;
        stale || was_in_zone != is_in_zone || changed || next.keep_share != last.keep_share
    }
}
