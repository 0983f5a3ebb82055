//! Text that must not appear in logs.

use std::fmt;

/// A secret; its debug output hides it.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretText(String);

impl SecretText {
    /// Fewest bytes that a secret may have.
    pub const MIN_BYTES: usize = 16;

    /// Returns the secret.
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
