//! Settings for the requests to cold targets.

use crate::SettingsErrorKind;
use crate::section_reader::SectionReader;

/// How many more requests a cold target may get than it takes by its service's configuration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdTolerance {
    /// Multiple of the rate that it takes.
    pub overrun: f64,
    /// Requests per second added to that multiple.
    pub slack: f64,
}

impl ColdTolerance {
    /// Reads `cold_overrun` and `cold_slack`; `None` if both are missing.
    pub(crate) fn read(section: &SectionReader<'_>) -> Option<Self> {
        let overrun: Option<f64> = section.optional("cold_overrun");
        let slack: Option<f64> = section.optional("cold_slack");
        let overrun = match (overrun, slack) {
            (None, None) => return None,
            (None, Some(_)) => {
                let hint = "set cold_overrun too, which turns the bound on";
                section.add_error(SettingsErrorKind::Conflict, "cold_slack", hint);
                return None;
            }
            (Some(overrun), _) => overrun,
        };
        if overrun < 1.0 {
            let hint = "expected 1 or more";
            section.add_error(SettingsErrorKind::OutOfRange, "cold_overrun", hint);
        }
        Some(Self {
            overrun,
            slack: slack.unwrap_or_default(),
        })
    }
}
