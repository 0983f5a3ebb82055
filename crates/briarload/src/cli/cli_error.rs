//! Errors of the command line.

use thiserror::Error;

/// Why a command could not run.
#[derive(Debug, Error)]
pub(crate) enum CliError {
    /// The arguments name no command.
    #[error("no such command\n\n{0}")]
    Usage(String),
    /// The arguments could not be parsed.
    #[error("{0}")]
    Arguments(#[from] getopts::Fail),
    /// An option that the command needs is missing.
    #[error("--{0} is missing")]
    Missing(&'static str),
    /// An option has a value that doesn't fit.
    #[error("--{option}: {value:?} is not valid: {hint}")]
    Value {
        /// Name of the option.
        option: &'static str,
        /// Its value.
        value: String,
        /// What was expected.
        hint: String,
    },
    /// The runtime could not start.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The HTTP client could not start.
    #[error("{0}")]
    Client(#[from] reqwest::Error),
    /// The report could not be printed.
    #[error("{0}")]
    Report(#[from] serde_json::Error),
}
