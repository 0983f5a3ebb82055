//! Errors while the router starts.

use thiserror::Error;

/// Cause of a [`StartError`].
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum StartErrorKind {
    /// A listener could not be bound to its address.
    #[error("could not listen on the address: {0}")]
    Listen(#[source] std::io::Error),
    /// A thread or an async runtime could not be started.
    #[error("could not start a thread: {0}")]
    Thread(#[source] std::io::Error),
    /// The HTTP client could not be created.
    #[error("could not create the HTTP client: {0}")]
    Client(#[source] reqwest::Error),
    /// The metrics could not be set up.
    #[error("could not set up the metrics: {0}")]
    Metrics(String),
}

/// An error while the router starts, with the related setting.
#[derive(Debug, Error)]
#[error("{setting}: {kind} (value: {value:?})")]
pub struct StartError {
    /// Cause of the error.
    #[source]
    pub kind: StartErrorKind,
    /// Key of the related setting.
    pub setting: &'static str,
    /// Value of the setting; empty if it does not matter.
    pub value: String,
}
