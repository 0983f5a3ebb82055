//! Number of threads.

use crate::section_reader::SectionReader;

/// Number of threads that the daemon runs in addition to the control thread.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ThreadSettings {
    /// Threads that handle requests.
    pub traffic: u64,
}

impl Default for ThreadSettings {
    fn default() -> Self {
        Self { traffic: 4 }
    }
}

impl ThreadSettings {
    pub(crate) fn read(section: SectionReader<'_>) -> Self {
        let default = Self::default();
        let threads = Self {
            traffic: section.integer("traffic", default.traffic, 1..=256),
        };
        section.finish();
        threads
    }
}
