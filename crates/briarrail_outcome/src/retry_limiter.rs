//! Limits on retries that many requests share.

/// A limit on retries that many requests share, so that retries can't amplify an overload.
pub trait RetryLimiter {
    /// Acquires a permit for one retry, or returns `false` if none is left.
    fn try_acquire(&mut self) -> bool;
}

/// A limiter that permits every retry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NoRetryLimit;

impl RetryLimiter for NoRetryLimit {
    fn try_acquire(&mut self) -> bool {
        true
    }
}

impl<F> RetryLimiter for F
where
    F: FnMut() -> bool,
{
    fn try_acquire(&mut self) -> bool {
        self()
    }
}
