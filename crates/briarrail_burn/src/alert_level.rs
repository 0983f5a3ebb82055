//! How urgent a burn rate is.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::BurnWindow;

/// How urgently somebody should look at an objective.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum AlertLevel {
    /// The error budget lasts.
    #[default]
    Fine,
    /// The error budget is used up somewhat too fast; look at it within days.
    Watch,
    /// The error budget is used up fast; look at it today.
    Ticket,
    /// The error budget is used up very fast; look at it now.
    Page,
}

impl AlertLevel {
    /// Returns the burn rate that both windows must reach, and the windows, short one first.
    #[must_use]
    pub const fn rule(self) -> Option<(f64, BurnWindow, BurnWindow)> {
        match self {
            Self::Fine => None,
            Self::Watch => Some((1.0, BurnWindow::SixHours, BurnWindow::ThreeDays)),
            Self::Ticket => Some((6.0, BurnWindow::ThirtyMinutes, BurnWindow::SixHours)),
            Self::Page => Some((14.4, BurnWindow::FiveMinutes, BurnWindow::OneHour)),
        }
    }

    /// Returns the most urgent level whose rule holds for the rates.
    pub(crate) fn for_rates<F>(rate_of: F) -> Self
    where
        F: Fn(BurnWindow) -> Option<f64>,
    {
        let reaches = |window, rate| rate_of(window).is_some_and(|found| found >= rate);
        let holds = |level: &Self| {
            level
                .rule()
                .is_some_and(|(rate, short, long)| reaches(short, rate) && reaches(long, rate))
        };
        let levels = [Self::Page, Self::Ticket, Self::Watch];
        levels.into_iter().find(holds).unwrap_or_default()
    }
}

impl fmt::Display for AlertLevel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::Fine => "fine",
            Self::Watch => "watch",
            Self::Ticket => "ticket",
            Self::Page => "page",
        })
    }
}
