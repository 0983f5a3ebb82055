//! Output of a command.

use serde::Serialize;

use crate::{CtlError, ExitStatus};

/// Text for both output streams, and the exit status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandOutput {
    /// Text for standard output.
    pub stdout: String,
    /// Text for standard error.
    pub stderr: String,
    /// Exit status of the process.
    pub exit: ExitStatus,
}

impl CommandOutput {
    /// Creates the output of a successful command; adds a missing final newline.
    pub(crate) fn text<T>(text: T) -> Self
    where
        T: Into<String>,
    {
        let mut stdout = text.into();
        if !stdout.is_empty() && !stdout.ends_with('\n') {
            stdout.push('\n');
        }
        Self {
            stdout,
            stderr: String::new(),
            exit: ExitStatus::Success,
        }
    }

    /// Creates the output of a successful command, with a value as JSON.
    ///
    /// # Panics
    ///
    /// Panics when the value has map keys that are not strings; no report has any.
    pub(crate) fn json<T>(value: &T) -> Self
    where
        T: Serialize,
    {
        let text = serde_json::to_string_pretty(value).expect("map keys of reports are strings");
        Self::text(text)
    }

    /// Creates the output of a failed command.
    pub(crate) fn error(error: &CtlError, as_json: bool) -> Self {
        let stderr = if as_json {
            format!("{}\n", error.to_json())
        } else {
            format!("briarctl: {error}\n")
        };
        Self {
            stdout: String::new(),
            stderr,
            exit: error.kind.exit(),
        }
    }

    pub(crate) fn with_exit(self, exit: ExitStatus) -> Self {
        Self { exit, ..self }
    }
}
