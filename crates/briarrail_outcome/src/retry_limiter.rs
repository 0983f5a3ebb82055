//! The allowance from which repeats are taken.

/// An allowance of repeats that many requests share, so that retries can't multiply an overload.
pub trait RetryLimiter {
    /// Takes one repeat, or returns `false` when none is left.
    fn try_acquire(&mut self) -> bool;
}

/// An allowance without a limit.
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
