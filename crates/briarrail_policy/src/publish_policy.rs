//! Selection of the load records that are published.

use briarrail_model::{LoadRecord, MilliDuration};

/// Largest pool whose targets publish at any load, in targets.
const SMALL_POOL_TARGETS: usize = 64;

/// Selects the load records to publish: those that can change a placement decision.
///
/// The shedding range starts at the load at which a target may shed chats. A record is published
/// when the load enters this range, at each sufficient change within it, and when the load returns
/// to the exit threshold. At any load, a change of the keep share and the end of the heartbeat
/// interval also cause a record to be published.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PublishPolicy {
    /// Multiple of the mean load at which the shedding range starts.
    pub enter_ratio: f32,
    /// Multiple of the mean load at or below which a target has left the shedding range.
    pub exit_ratio: f32,
    /// Least change that is published within the shedding range, as a fraction of the mean load.
    pub min_change_ratio: f32,
    /// Longest time between two published records.
    pub heartbeat: MilliDuration,
}

impl PublishPolicy {
    /// Returns the policy for the number of all targets to which a router sends.
    ///
    /// In a small pool, changes of the load are published at any load. In a large pool, they are
    /// published only in the shedding range, to stay within the limit on control traffic.
    #[must_use]
    pub fn for_targets(targets: usize) -> Self {
        if targets <= SMALL_POOL_TARGETS {
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

    /// Returns whether to publish `next` after the last published record.
    ///
    /// `mean_load` is the mean load of the target's pool and region, in streams.
    #[must_use]
    pub fn should_publish(
        &self,
        last: Option<&LoadRecord>,
        next: &LoadRecord,
        mean_load: f32,
    ) -> bool {
        let Some(last) = last else {
            return true;
        };
        let threshold = self.enter_ratio * mean_load;
        let was_above = last.streams as f32 >= threshold;
        let is_above = next.streams as f32 >= threshold;
        let change = next.streams.abs_diff(last.streams) as f32;
        let entered_or_changed =
            is_above && (!was_above || change >= self.min_change_ratio * mean_load);
        let returned = was_above && next.streams as f32 <= self.exit_ratio * mean_load;
        let heartbeat_due = next.version.since(last.version) >= self.heartbeat;
        heartbeat_due || entered_or_changed || returned || next.keep_share != last.keep_share
    }
}
