//! Alert levels of burn rates.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::BurnWindow;

/// How urgently an objective needs attention.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum AlertLevel {
    /// The error budget lasts at the present burn rate.
    #[default]
    Fine,
    /// The error budget burns slightly too fast; investigate within days.
    Watch,
    /// The error budget burns fast; investigate today.
    Ticket,
    /// The error budget burns very fast; investigate immediately.
    Page,
}

impl AlertLevel {
    /// Returns the threshold of the burn rate, the short window and the long window.
    ///
    /// The level applies if the burn rate reaches the threshold over both windows.
    #[must_use]
    pub const fn rule(self) -> Option<(f64, BurnWindow, BurnWindow)> {
        match self {
            Self::Fine => None,
            Self::Watch => Some((1.0, BurnWindow::SixHours, BurnWindow::ThreeDays)),
            Self::Ticket => Some((6.0, BurnWindow::ThirtyMinutes, BurnWindow::SixHours)),
            Self::Page => Some((14.4, BurnWindow::FiveMinutes, BurnWindow::OneHour)),
        }
    }

    /// Returns the most urgent level whose rule the burn rates satisfy.
    pub(crate) fn from_rates<F>(burn_rate_of: F) -> Self
    where
        F: Fn(BurnWindow) -> Option<f64>,
    {
        let reaches =
            |window, threshold| burn_rate_of(window).is_some_and(|rate| rate >= threshold);
        let is_satisfied = |level: &Self| {
            level.rule().is_some_and(|(threshold, short, long)| {
                reaches(short, threshold) && reaches(long, threshold)
            })
        };
        let levels = [Self::Page, Self::Ticket, Self::Watch];
        levels.into_iter().find(is_satisfied).unwrap_or_default()
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
