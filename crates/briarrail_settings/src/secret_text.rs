//! Text that must not be logged.

use std::fmt;

/// A secret, redacted in debug output.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretText(String);

impl SecretText {
    /// Minimum length in bytes.
    pub const MIN_BYTES: usize = 16;

    /// Returns the secret in plain text.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl From<&str> for SecretText {
    fn from(text: &str) -> Self {
        Self(text.to_owned())
    }
}

impl fmt::Debug for SecretText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SecretText(hidden)")
    }
}
