//! The allowance from which repeats are taken.

/// An allowance of repeats that many requests share, so that retries can't multiply an overload.
pub trait RetryAllowance {
    /// Takes one repeat, or returns `false` when none is left.
    fn take_retry(&mut self) -> bool;
}

/// An allowance without a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FreeAllowance;

impl RetryAllowance for FreeAllowance {
    fn take_retry(&mut self) -> bool {
        true
    }
}

impl<F> RetryAllowance for F
where
    F: FnMut() -> bool,
{
    fn take_retry(&mut self) -> bool {
        self()
    }
}
