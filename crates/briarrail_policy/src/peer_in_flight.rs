//! In-flight counts that the routers of a small fleet exchange.

use briarrail_model::{LoadRecord, MilliDuration, MilliTime, StableHash, hash_pair};

const RECORD_KEY_SALT: StableHash = StableHash(0x0063_6f75_6e74);
/// Largest fleet that exchanges in-flight counts, as routers times targets.
const MAX_ROUTER_TARGET_PAIRS: usize = 256;
const MAX_RECORD_AGE: MilliDuration = MilliDuration::from_secs(10);
const HEARTBEAT_INTERVAL: MilliDuration = MilliDuration::from_secs(4);
/// Least time between two records when the count changed by less than [`MIN_IMMEDIATE_CHANGE`].
const SMALL_CHANGE_INTERVAL: MilliDuration = MilliDuration::from_secs(3);
/// Least change of the count that is published without delay, in requests.
const MIN_IMMEDIATE_CHANGE: u32 = 2;

/// Sum of the other routers' requests in flight to one target.
///
/// In a small fleet the routers together know the load of a target before its report arrives. Each
/// router publishes its in-flight count for a target as a [`LoadRecord`] under
/// [`PeerInFlight::record_key`], through the same exchange as load reports. The sum equals the load
/// only if the target receives no requests from other senders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerInFlight {
    /// Time at which the counts were valid.
    pub as_of: MilliTime,
    /// Requests in flight from all other routers.
    pub in_flight: u32,
}

impl PeerInFlight {
    /// Returns whether a fleet is small enough to exchange counts within the limit on control
    /// traffic.
    #[must_use]
    pub const fn is_enabled_for(routers: usize, targets: usize) -> bool {
        routers.saturating_mul(targets) <= MAX_ROUTER_TARGET_PAIRS
    }

    /// Returns the key under which a router publishes its in-flight count for a target.
    #[must_use]
    pub const fn record_key(router: StableHash, target: StableHash) -> StableHash {
        hash_pair(hash_pair(router, RECORD_KEY_SALT), target)
    }

    /// Returns whether a router should publish `next` after the last published record.
    #[must_use]
    pub fn should_publish(last: Option<&LoadRecord>, next: &LoadRecord) -> bool {
        let Some(last) = last else {
            return true;
        };
        let age = next.version.since(last.version);
        let change = next.streams.abs_diff(last.streams);
        let small_change_due = change > 0 && age >= SMALL_CHANGE_INTERVAL;
        change >= MIN_IMMEDIATE_CHANGE || small_change_due || age >= HEARTBEAT_INTERVAL
    }

    /// Adds up the latest records of all other live routers.
    ///
    /// Returns `None` if a record is missing or too old. A count stays valid until the next record,
    /// so the sum is valid at `now` minus the exchange delay.
    #[must_use]
    pub fn sum<I>(records: I, exchange_delay: MilliDuration, now: MilliTime) -> Option<Self>
    where
        I: IntoIterator<Item = Option<LoadRecord>>,
    {
        let mut in_flight = 0;
        for record in records {
            let record = record?;
            if now.since(record.version) > MAX_RECORD_AGE {
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
