//! Failures of calls to the platform.

use thiserror::Error;

use crate::ObjectVersion;

/// What is known after a failed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum StoreErrorKind {
    /// The condition of the write did not hold; the object's version is attached, if it exists.
    #[error("the condition did not hold")]
    Conflict(Option<ObjectVersion>),
    /// The call was not carried out.
    #[error("the platform did not take the call")]
    Unavailable,
    /// The call was sent and no reply came; a write may have taken effect.
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
    /// What is known after the failure.
    pub kind: StoreErrorKind,
    /// The call, and what the transport said.
    pub context: String,
}

impl StoreError {
    /// Makes an error.
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
