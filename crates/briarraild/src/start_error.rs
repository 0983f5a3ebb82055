//! Failures to start.

use thiserror::Error;

/// What kept the daemon from starting.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum StartErrorKind {
    /// An address could not be bound.
    #[error("the address can't be listened on: {0}")]
    Listen(#[source] std::io::Error),
    /// A thread or runtime could not be made.
    #[error("a thread could not be started: {0}")]
    Thread(#[source] std::io::Error),
    /// The HTTP client could not be made.
    #[error("the HTTP client could not be made: {0}")]
    Client(#[source] reqwest::Error),
    /// The metrics could not be set up.
    #[error("the metrics could not be set up: {0}")]
    Metrics(String),
}

/// A failure to start, with the setting that it concerns.
#[derive(Debug, Error)]
#[error("{setting}: {kind} (value: {value:?})")]
pub struct StartError {
    /// What failed.
    #[source]
    pub kind: StartErrorKind,
    /// Setting that it concerns.
    pub setting: &'static str,
    /// Value of the setting.
    pub value: String,
}
