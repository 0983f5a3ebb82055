//! Mistakes in a settings file.

use std::fmt;

use thiserror::Error;

/// What is wrong with a setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum SettingsErrorKind {
    /// The file can't be read.
    #[error("the file can't be read")]
    Unreadable,
    /// The text is not JSON with comments.
    #[error("the text is not JSON with comments")]
    Syntax,
    /// No setting has this key.
    #[error("unknown key")]
    UnknownKey,
    /// The key stands twice in its section.
    #[error("the key stands twice")]
    DuplicateKey,
    /// A required key is missing.
    #[error("required key is missing")]
    MissingKey,
    /// The value has the wrong type or form.
    #[error("the value has the wrong form")]
    InvalidValue,
    /// The value is outside its range.
    #[error("the value is out of range")]
    OutOfRange,
    /// The value does not go with another setting.
    #[error("the value does not go with another setting")]
    Conflict,
}

/// One mistake, with its place, the offending value and a hint.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{}: {kind}{} (hint: {hint})", place(*.line, .key), found(.value))]
pub struct SettingsError {
    /// What is wrong.
    pub kind: SettingsErrorKind,
    /// Line of the file, counted from 1; 0 when it is about the file itself.
    pub line: usize,
    /// Path of the setting, such as `callers.listen`.
    pub key: String,
    /// Offending value as written; empty when there is none.
    pub value: String,
    /// What to do about it.
    pub hint: String,
}

fn place(line: usize, key: &str) -> String {
    if line == 0 {
        key.to_owned()
    } else {
        format!("line {line}: {key}")
    }
}

fn found(value: &str) -> String {
    if value.is_empty() {
        String::new()
    } else {
        format!(": found {value}")
    }
}

/// Every mistake of a settings file, in the order of their lines.
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
