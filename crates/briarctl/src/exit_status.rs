//! Exit codes.

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ExitStatus {
    /// The command did what it was asked, and found nothing to report.
    Success,
    /// The command found something: differences, routers behind, a burn rate that pages.
    Findings,
    /// The arguments are wrong.
    Usage,
    /// Tables, settings or a row are invalid.
    Invalid,
    /// Another operator changed the row first.
    Outdated,
    /// The platform or a router could not be reached; an edit was not accepted.
    Unreachable,
    /// It is unknown whether an edit was accepted.
    Unknown,
    /// The row or the edit does not exist.
    NotFound,
}

impl ExitStatus {
    /// Returns the exit code of the process.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Findings => 1,
            Self::Usage => 2,
            Self::Invalid => 3,
            Self::Outdated => 4,
            Self::Unreachable => 5,
            Self::Unknown => 6,
            Self::NotFound => 7,
        }
    }
}
