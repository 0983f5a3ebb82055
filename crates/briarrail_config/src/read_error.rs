//! Errors of reading the tables.

use briarrail_platform::StoreError;
use thiserror::Error;

/// Reason why the tables could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum ReadErrorKind {
    /// The object API failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The object can't be decoded, or is inconsistent with the head or the base.
    #[error("the object is corrupt: {0}")]
    Corrupt(String),
    /// The part does not exist: concurrent edits replaced it during each attempt to read it.
    #[error("the object was replaced while it was being read")]
    Replaced,
}

/// Error of reading one object.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{key}: {kind}")]
pub struct ReadError {
    /// Reason why the object could not be read.
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

    pub(crate) fn corrupt(key: &str, cause: &dyn std::fmt::Display) -> Self {
        Self::new(key, ReadErrorKind::Corrupt(cause.to_string()))
    }
}
