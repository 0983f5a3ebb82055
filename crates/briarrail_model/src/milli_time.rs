//! Timestamps and durations in milliseconds.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A timestamp, in milliseconds since an epoch that the caller chooses.
///
/// Functions that depend on the time take it as an argument, so that tests can run in virtual time.
/// Timestamps that leave the process are relative to the Unix epoch.
///
/// ```
/// use briarrail_model::{MilliDuration, MilliTime};
///
/// let start = MilliTime::from_millis(1_000);
/// assert_eq!(start + MilliDuration::from_secs(2), MilliTime::from_millis(3_000));
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MilliTime(u64);

impl MilliTime {
    /// Creates a timestamp from milliseconds since the epoch.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the epoch.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later than `self`.
    #[must_use]
    pub const fn since(self, earlier: Self) -> MilliDuration {
        MilliDuration(self.0.saturating_sub(earlier.0))
    }
}

impl Add<MilliDuration> for MilliTime {
    type Output = Self;

    fn add(self, duration: MilliDuration) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}

impl Sub<MilliDuration> for MilliTime {
    type Output = Self;

    fn sub(self, duration: MilliDuration) -> Self {
        Self(self.0.saturating_sub(duration.0))
    }
}

/// A duration, in milliseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MilliDuration(u64);

impl MilliDuration {
    /// A duration of zero.
    pub const ZERO: Self = Self(0);

    /// Creates a duration from milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Creates a duration from seconds.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1_000))
    }

    /// Returns the duration in milliseconds.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the duration in seconds.
    #[must_use]
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

impl From<MilliDuration> for std::time::Duration {
    fn from(duration: MilliDuration) -> Self {
        Self::from_millis(duration.0)
    }
}

impl Add for MilliDuration {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}
