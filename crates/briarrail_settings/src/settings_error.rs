//! Errors in a settings file.

use std::fmt;

use thiserror::Error;

/// Kind of a settings error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum SettingsErrorKind {
    /// The file can't be read.
    #[error("the file can't be read")]
    Unreadable,
    /// The text is not valid JSON with comments.
    #[error("the text is not valid JSON with comments")]
    Syntax,
    /// There is no setting with this key.
    #[error("unknown key")]
    UnknownKey,
    /// The key occurs more than once in its section.
    #[error("duplicate key")]
    DuplicateKey,
    /// A required key is missing.
    #[error("required key is missing")]
    MissingKey,
    /// The value has the wrong type or can't be converted.
    #[error("the value is invalid")]
    InvalidValue,
    /// The value is outside its range.
    #[error("the value is out of range")]
    OutOfRange,
    /// The value conflicts with another setting.
    #[error("the value conflicts with another setting")]
    Conflict,
}

/// One error, with its line, the offending value and a hint.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{}: {kind}{} (hint: {hint})", location(*.line, .key), found_suffix(.value))]
pub struct SettingsError {
    /// Kind of error.
    pub kind: SettingsErrorKind,
    /// Line number, starting at 1; 0 if the error is about the file itself.
    pub line: usize,
    /// Path of the setting, such as `callers.listen`.
    pub key: String,
    /// Offending value as written, redacted if it may contain a secret; empty if there is none.
    pub value: String,
    /// How to fix the error.
    pub hint: String,
}

fn location(line: usize, key: &str) -> String {
    if line == 0 {
        key.to_owned()
    } else {
        format!("line {line}: {key}")
    }
}

fn found_suffix(value: &str) -> String {
    if value.is_empty() {
        String::new()
    } else {
        format!(": found {value}")
    }
}

/// Every error in a settings file, sorted by line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsErrors(pub Vec<SettingsError>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(formatter, "{separator}{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}
