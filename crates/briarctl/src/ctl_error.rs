//! Errors of commands.

use briarrail_config::{EditErrorKind, ReadError, SubmitError, SubmitErrorKind};
use serde_json::json;
use thiserror::Error;

use crate::{ExitStatus, FileErrors};

/// Why a command failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum CtlErrorKind {
    /// The arguments are invalid.
    #[error("usage")]
    Usage,
    /// The tables, the settings or a row are invalid.
    #[error("invalid")]
    Invalid,
    /// The row has changed since the version that the edit is based on.
    #[error("outdated")]
    Outdated,
    /// The platform or a router could not be reached.
    #[error("unreachable")]
    Unreachable,
    /// It is unknown whether an edit was accepted.
    #[error("unknown")]
    Unknown,
    /// The row or the edit does not exist.
    #[error("not_found")]
    NotFound,
}

impl CtlErrorKind {
    /// Returns the exit status.
    #[must_use]
    pub const fn exit(self) -> ExitStatus {
        match self {
            Self::Usage => ExitStatus::Usage,
            Self::Invalid => ExitStatus::Invalid,
            Self::Outdated => ExitStatus::Outdated,
            Self::Unreachable => ExitStatus::Unreachable,
            Self::Unknown => ExitStatus::Unknown,
            Self::NotFound => ExitStatus::NotFound,
        }
    }
}

/// Why a command failed and how to resolve it.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{context}\nhint: {hint}")]
pub struct CtlError {
    /// Category of the error, which selects the exit status.
    pub kind: CtlErrorKind,
    /// What failed, with the offending value.
    pub context: String,
    /// How to resolve the error.
    pub hint: String,
}

impl CtlError {
    pub(crate) fn new<C, H>(kind: CtlErrorKind, context: C, hint: H) -> Self
    where
        C: Into<String>,
        H: Into<String>,
    {
        Self {
            kind,
            context: context.into(),
            hint: hint.into(),
        }
    }

    pub(crate) fn usage<C>(context: C, command: &str) -> Self
    where
        C: Into<String>,
    {
        let hint = format!(
            "see `{}`",
            format!("briarctl {command} --help").replace("  ", " ")
        );
        Self::new(CtlErrorKind::Usage, context, hint)
    }

    /// Returns the error as one line of JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        let error = json!({
            "kind": self.kind.to_string(),
            "exit": self.kind.exit().code(),
            "context": self.context,
            "hint": self.hint,
        });
        json!({ "error": error }).to_string()
    }
}

impl From<SubmitError> for CtlError {
    fn from(error: SubmitError) -> Self {
        let id = error.id.0;
        let (kind, hint) = match &error.kind {
            SubmitErrorKind::Refused(EditErrorKind::Outdated { .. }) => (
                CtlErrorKind::Outdated,
                "get the current row, redo the change on it and apply it again".to_owned(),
            ),
            SubmitErrorKind::Refused(_) => (
                CtlErrorKind::Invalid,
                "fix the rows; nothing was changed".to_owned(),
            ),
            SubmitErrorKind::Unknown(_) => (
                CtlErrorKind::Unknown,
                format!(
                    "run `briarctl edits find {id}` to check whether it was accepted, or repeat the \
                     command with `--edit-id {id}`, which cannot apply the edit twice"
                ),
            ),
            SubmitErrorKind::TooManyConflicts(_) => (
                CtlErrorKind::Unreachable,
                "nothing was changed; repeat the command".to_owned(),
            ),
            _ => (
                CtlErrorKind::Unreachable,
                "nothing was changed; routers keep using the active tables; repeat the command \
                 when the platform is available again"
                    .to_owned(),
            ),
        };
        Self::new(kind, error.to_string(), hint)
    }
}

impl From<ReadError> for CtlError {
    fn from(error: ReadError) -> Self {
        let hint = "nothing was changed; check --store and that the platform is available";
        let context = format!("cannot read the tables: {error}");
        Self::new(CtlErrorKind::Unreachable, context, hint)
    }
}

impl From<FileErrors> for CtlError {
    fn from(errors: FileErrors) -> Self {
        let hint = "fix the lines listed above; nothing was changed";
        Self::new(CtlErrorKind::Invalid, errors.to_string(), hint)
    }
}
