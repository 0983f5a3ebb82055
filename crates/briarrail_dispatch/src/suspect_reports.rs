//! What a router tells others about all suspects.

use briarrail_model::MilliDuration;

use crate::{SuspectKind, SuspectReport};

/// Reports on suspects, by kind.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SuspectReports {
    /// Reports on prompt parts.
    pub parts: Vec<SuspectReport>,
    /// Reports on whole requests.
    pub requests: Vec<SuspectReport>,
}

impl SuspectReports {
    /// Returns whether there are no reports.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.parts.is_empty() && self.requests.is_empty()
    }

    /// Adds the time that the reports spend on their way to all ages.
    #[must_use]
    pub fn aged(self, transit: MilliDuration) -> Self {
        let age = |reports: Vec<SuspectReport>| {
            let aged = reports.into_iter().map(|report| report.aged(transit));
            aged.collect()
        };
        Self {
            parts: age(self.parts),
            requests: age(self.requests),
        }
    }

    /// Returns the reports with the kinds of their suspects.
    pub fn iter(&self) -> impl Iterator<Item = (SuspectKind, &SuspectReport)> {
        let parts = self.parts.iter();
        let parts = parts.map(|report| (SuspectKind::PromptPart, report));
        let requests = self.requests.iter();
        parts.chain(requests.map(|report| (SuspectKind::Request, report)))
    }
}
