//! Windows of time over which burn rates are worked out.

use std::fmt;

use briarrail_model::MilliDuration;
use serde::{Deserialize, Serialize};

/// The last part of the past, up to now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum BurnWindow {
    /// Five minutes.
    #[serde(rename = "5m")]
    FiveMinutes,
    /// Thirty minutes.
    #[serde(rename = "30m")]
    HalfHour,
    /// One hour.
    #[serde(rename = "1h")]
    Hour,
    /// Six hours.
    #[serde(rename = "6h")]
    SixHours,
    /// Three days.
    #[serde(rename = "3d")]
    ThreeDays,
}

impl BurnWindow {
    /// All windows, shortest first.
    pub const ALL: [Self; 5] = [
        Self::FiveMinutes,
        Self::HalfHour,
        Self::Hour,
        Self::SixHours,
        Self::ThreeDays,
    ];

    /// Returns the length.
    #[must_use]
    pub const fn length(self) -> MilliDuration {
        MilliDuration::from_secs(
            60 * match self {
                Self::FiveMinutes => 5,
                Self::HalfHour => 30,
                Self::Hour => 60,
                Self::SixHours => 6 * 60,
                Self::ThreeDays => 3 * 24 * 60,
            },
        )
    }
}

impl fmt::Display for BurnWindow {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::FiveMinutes => "5m",
            Self::HalfHour => "30m",
            Self::Hour => "1h",
            Self::SixHours => "6h",
            Self::ThreeDays => "3d",
        })
    }
}
