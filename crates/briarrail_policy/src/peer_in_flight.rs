//! In-flight counts that the routers of a small fleet tell each other.

use briarrail_model::{LoadRecord, MilliDuration, MilliTime, StableHash, hash_pair};

const COUNT_SALT: StableHash = StableHash(0x0063_6f75_6e74);
/// Largest fleet that exchanges counts, in routers times targets.
const MAX_PAIRS: usize = 256;
const MAX_COUNT_AGE: MilliDuration = MilliDuration::from_secs(10);
const COUNT_HEARTBEAT: MilliDuration = MilliDuration::from_secs(4);
const SETTLE_TIME: MilliDuration = MilliDuration::from_secs(3);
const MIN_COUNT_STEP: u32 = 2;

/// Sum of the other routers' requests in flight to one target.
///
/// In a small fleet the routers together know an engine's load sooner than its report arrives.
/// Each router publishes its own count of a target as a [`LoadRecord`] under
/// [`PeerInFlight::record_key`], through the same exchange as load reports. It holds as long as
/// nothing but the routers sends to the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerInFlight {
    /// Time of the counts.
    pub as_of: MilliTime,
    /// Requests in flight from all other routers.
    pub in_flight: u32,
}

impl PeerInFlight {
    /// Returns whether a fleet is small enough to exchange counts within the control budget.
    #[must_use]
    pub const fn is_enabled_for(routers: usize, targets: usize) -> bool {
        routers.saturating_mul(targets) <= MAX_PAIRS
    }

    /// Returns the name under which a router publishes its count of a target.
    #[must_use]
    pub const fn record_key(router: StableHash, target: StableHash) -> StableHash {
        hash_pair(hash_pair(router, COUNT_SALT), target)
    }

    /// Returns whether a router's count is to be published after the last published one.
    #[must_use]
    pub fn should_publish(last: Option<&LoadRecord>, next: &LoadRecord) -> bool {
        let Some(last) = last else {
            return true;
        };
        let age = next.version.since(last.version);
        let change = next.streams.abs_diff(last.streams);
        let settled = change > 0 && age >= SETTLE_TIME;
        change >= MIN_COUNT_STEP || settled || age >= COUNT_HEARTBEAT
    }

    /// Adds up the latest records of all other live routers; none when one is missing or old.
    ///
    /// A record that has not changed holds until the exchange delay before `now`.
    #[must_use]
    pub fn sum<I>(records: I, exchange_delay: MilliDuration, now: MilliTime) -> Option<Self>
    where
        I: IntoIterator<Item = Option<LoadRecord>>,
    {
        let mut in_flight = 0;
        for record in records {
            let record = record?;
            if now.since(record.version) > MAX_COUNT_AGE {
                return None;
            }
            in_flight += record.streams;
        }
        Some(Self {
            as_of: now - exchange_delay,
            in_flight,
        })
    }
}
