//! A change of what a target may get.

use crate::SendDenial;

/// A change of whether a target may get requests, with the reasons before and after it; `None` if it
/// may.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StandingChange {
    /// Reason before the change.
    pub from: Option<SendDenial>,
    /// Reason after the change.
    pub to: Option<SendDenial>,
}

impl StandingChange {
    /// Returns the name of a standing in logs and metrics.
    #[must_use]
    pub fn name(denial: Option<SendDenial>) -> &'static str {
        denial.map_or("ready", SendDenial::name)
    }
}
