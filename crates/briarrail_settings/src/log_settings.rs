//! Logging.

use crate::section_reader::SectionReader;

/// Format of the log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable lines.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Log format and filter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Format of the log lines.
    pub format: LogFormat,
    /// Filter in the syntax of `tracing-subscriber`, such as `info,briarraild=debug`.
    pub filter: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            filter: "info".into(),
        }
    }
}

impl LogSettings {
    pub(crate) fn read(section: SectionReader<'_>) -> Self {
        let default = Self::default();
        let logs = Self {
            format: section.value_or("format", default.format),
            filter: section.value_or("filter", default.filter),
        };
        section.finish();
        logs
    }
}
