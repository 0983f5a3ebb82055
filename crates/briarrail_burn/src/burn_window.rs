//! Time windows over which burn rates are computed.

use std::fmt;

use briarrail_model::MilliDuration;
use serde::{Deserialize, Serialize};

/// A time window that ends at the present.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum BurnWindow {
    /// Five minutes.
    #[serde(rename = "5m")]
    FiveMinutes,
    /// Thirty minutes.
    #[serde(rename = "30m")]
    ThirtyMinutes,
    /// One hour.
    #[serde(rename = "1h")]
    OneHour,
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
        Self::ThirtyMinutes,
        Self::OneHour,
        Self::SixHours,
        Self::ThreeDays,
    ];

    /// Returns the length of the window.
    #[must_use]
    pub const fn length(self) -> MilliDuration {
        MilliDuration::from_secs(
            60 * match self {
                Self::FiveMinutes => 5,
                Self::ThirtyMinutes => 30,
                Self::OneHour => 60,
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
            Self::ThirtyMinutes => "30m",
            Self::OneHour => "1h",
            Self::SixHours => "6h",
            Self::ThreeDays => "3d",
        })
    }
}
