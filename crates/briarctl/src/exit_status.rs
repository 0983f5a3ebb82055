//! Exit statuses of the process.

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ExitStatus {
    /// The command succeeded and has no findings.
    Success,
    /// The command succeeded with findings: differences, routers that are behind or do not answer,
    /// or a burn rate that pages.
    Findings,
    /// The arguments are invalid.
    Usage,
    /// The tables, the settings or a row are invalid.
    Invalid,
    /// The row has changed since the version that the edit is based on.
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
