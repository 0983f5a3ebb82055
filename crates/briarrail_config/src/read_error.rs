//! Failures to read the tables.

use briarrail_platform::StoreError;
use thiserror::Error;

/// Why the tables could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum ReadErrorKind {
    /// The object API failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The object can't be decoded, or does not fit the head.
    #[error("the object is damaged: {0}")]
    Damaged(String),
    /// The object was replaced while it was being read, each time it was tried.
    #[error("the object was replaced while it was being read")]
    Replaced,
}

/// A failure to read one object.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{key}: {kind}")]
pub struct ReadError {
    /// Why the object could not be read.
    pub kind: ReadErrorKind,
    /// Key of the object.
    pub key: String,
}

impl ReadError {
    pub(crate) fn new<K>(key: &str, kind: K) -> Self
    where
        K: Into<ReadErrorKind>,
    {
        Self {
            kind: kind.into(),
            key: key.to_owned(),
        }
    }

    pub(crate) fn damaged(key: &str, cause: &dyn std::fmt::Display) -> Self {
        Self::new(key, ReadErrorKind::Damaged(cause.to_string()))
    }
}
