//! Byte budget of a router's control traffic.

use briarrail_model::MilliTime;

/// Bytes of HTTP, TCP and IP headers of a request on a persistent connection, including its share
/// of the acknowledgements.
pub const REQUEST_HEADER_BYTES: usize = 170;
/// Bytes of HTTP, TCP and IP headers of a reply, including its share of the acknowledgements.
pub const REPLY_HEADER_BYTES: usize = 150;

/// A token bucket of bytes sent and received.
///
/// Urgent traffic may overdraw the bucket; other traffic waits until the balance is positive.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    bytes_per_second: i64,
    max_balance: i64,
    balance: i64,
    refilled_at: MilliTime,
}

impl ByteBudget {
    /// Creates a full bucket that refills at `rate` bytes per second up to `burst` bytes.
    #[must_use]
    pub fn new(now: MilliTime, rate: u32, burst: u32) -> Self {
        Self {
            bytes_per_second: i64::from(rate),
            max_balance: i64::from(burst),
            balance: i64::from(burst),
            refilled_at: now,
        }
    }

    /// Deducts bytes that were sent or received, even if the balance becomes negative.
    pub fn charge(&mut self, bytes: usize) {
        self.balance = self.balance.saturating_sub(bytes as i64);
    }

    /// Returns the number of bytes that may be spent now; 0 while the balance is negative.
    pub fn available(&mut self, now: MilliTime) -> usize {
        self.refill(now);
        usize::try_from(self.balance).unwrap_or(0)
    }

    fn refill(&mut self, now: MilliTime) {
        let elapsed = now.since(self.refilled_at).as_millis() as i64;
        let refill = elapsed.saturating_mul(self.bytes_per_second) / 1_000;
        if refill == 0 {
            return;
        }
        self.balance = (self.balance + refill).min(self.max_balance);
        self.refilled_at = now;
    }
}
