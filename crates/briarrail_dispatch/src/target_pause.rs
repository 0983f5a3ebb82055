//! A pause for which a target asks.

use std::time::Duration;

use briarrail_model::{MilliDuration, MilliTime, StableHash, hash_pair};

/// Maximum length of a pause; a target that asks for more does not mean a pause.
const MAX_PAUSE: MilliDuration = MilliDuration::from_secs(3_600);
/// Time after a pause over which a target's requests come back, as a fraction of the pause.
const RETURN_TIME_RATIO: u64 = 3;
/// Minimum of that time; a few rounds of the exchange must show the load before all are back.
const MIN_RETURN_TIME: MilliDuration = MilliDuration::from_millis(200);
/// Maximum of that time, which is lost for a target that has recovered.
const MAX_RETURN_TIME: MilliDuration = MilliDuration::from_millis(1_000);
const RETURN_SALT: StableHash = StableHash(0x7265_7475_726e);

/// A pause for which a target asks, and the time after it over which its requests come back.
///
/// Callers that were refused during the pause come back at its end, and placement prefers a target
/// without load. Each request therefore has an end of the pause of its own, so that the target's
/// share grows evenly on all routers together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetPause {
    until: MilliTime,
    return_time: MilliDuration,
}

impl TargetPause {
    /// Creates a pause that begins now, or returns `None` if the length is no sensible number of
    /// seconds.
    #[must_use]
    pub fn from_secs(seconds: f64, now: MilliTime) -> Option<Self> {
        let length = Duration::try_from_secs_f64(seconds).ok()?;
        // Rounded up, since the target still wants nothing in the last part of a millisecond.
        let length_ms = length.as_micros().div_ceil(1_000);
        let length = MilliDuration::from_millis(u64::try_from(length_ms).ok()?);
        (length <= MAX_PAUSE).then(|| Self::new(length, now))
    }

    /// Creates a pause that begins now.
    #[must_use]
    pub fn new(length: MilliDuration, now: MilliTime) -> Self {
        let return_ms = length.as_millis() / RETURN_TIME_RATIO;
        Self {
            until: now + length,
            return_time: MilliDuration::from_millis(return_ms)
                .clamp(MIN_RETURN_TIME, MAX_RETURN_TIME),
        }
    }

    /// Returns the end of the pause.
    #[must_use]
    pub const fn until(&self) -> MilliTime {
        self.until
    }

    /// Returns the time from which on the target gets a request; `seed` differs between requests and
    /// targets.
    #[must_use]
    pub fn until_for(&self, seed: StableHash) -> MilliTime {
        let fraction = (hash_pair(seed, RETURN_SALT).0 >> 40) as f64 / (1_u64 << 24) as f64;
        let delay_ms = self.return_time.as_millis() as f64 * fraction;
        self.until + MilliDuration::from_millis(delay_ms as u64)
    }

    /// Returns the pause that ends last.
    #[must_use]
    pub fn latest(self, other: Option<Self>) -> Self {
        match other {
            Some(other) if other.until > self.until => other,
            _ => self,
        }
    }

    /// Returns whether the target gets all requests again.
    #[must_use]
    pub fn is_over(&self, now: MilliTime) -> bool {
        now.since(self.until) >= self.return_time
    }
}
