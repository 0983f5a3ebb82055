//! The byte budget of a router's control traffic.

use briarrail_model::MilliTime;

/// Bytes of HTTP, TCP and IP headers that go with a request on a kept connection, with its share
/// of the acknowledgements.
pub const REQUEST_HEADER_BYTES: usize = 170;
/// Bytes of HTTP, TCP and IP headers that go with a reply, with its share of the acknowledgements.
pub const REPLY_HEADER_BYTES: usize = 150;

/// A token bucket over bytes sent and received.
///
/// Urgent traffic may overdraw it; ordinary traffic waits until the debt is paid.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    rate: i64,
    burst: i64,
    level: i64,
    refilled_at: MilliTime,
}

impl ByteBudget {
    /// Makes a full bucket that refills with `rate` bytes a second up to `burst` bytes.
    #[must_use]
    pub fn new(now: MilliTime, rate: u32, burst: u32) -> Self {
        Self {
            rate: i64::from(rate),
            burst: i64::from(burst),
            level: i64::from(burst),
            refilled_at: now,
        }
    }

    /// Takes bytes that were sent or received, even when that leaves a debt.
    pub fn charge(&mut self, bytes: usize) {
        self.level = self.level.saturating_sub(bytes as i64);
    }

    /// Returns the bytes that may be spent now; 0 while there is a debt.
    pub fn available(&mut self, now: MilliTime) -> usize {
        self.refill(now);
        usize::try_from(self.level).unwrap_or(0)
    }

    fn refill(&mut self, now: MilliTime) {
        let elapsed = now.since(self.refilled_at).as_millis() as i64;
        let refill = elapsed.saturating_mul(self.rate) / 1_000;
        if refill == 0 {
            return;
        }
        self.level = (self.level + refill).min(self.burst);
        self.refilled_at = now;
    }
}
