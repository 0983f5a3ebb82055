//! Errors of calls to the platform.

use thiserror::Error;

use crate::ObjectVersion;

/// Kind of a failed call, and whether a write may have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum StoreErrorKind {
    /// The write condition did not hold. Carries the object's current version, if it exists.
    #[error("the write condition did not hold")]
    Conflict(Option<ObjectVersion>),
    /// The call was not processed, so it had no effect.
    #[error("the platform did not process the call")]
    Unavailable,
    /// The call was sent but no usable reply arrived; a write may have taken effect.
    #[error("the reply was lost")]
    Unknown,
    /// The call or its reply was malformed.
    #[error("the call or its reply was malformed")]
    Invalid,
}

/// A failed call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{kind}: {context}")]
pub struct StoreError {
    /// Kind of the failure.
    pub kind: StoreErrorKind,
    /// Details, such as the key and the transport error or status.
    pub context: String,
}

impl StoreError {
    /// Creates an error.
    #[must_use]
    pub fn new<C>(kind: StoreErrorKind, context: C) -> Self
    where
        C: Into<String>,
    {
        Self {
            kind,
            context: context.into(),
        }
    }
}
