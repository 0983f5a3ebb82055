//! Errors of the command line.

use thiserror::Error;

/// An error that prevents a command from running.
#[derive(Debug, Error)]
pub(crate) enum CliError {
    /// The command is missing or unknown.
    #[error("missing or unknown command\n\n{0}")]
    UnknownCommand(String),
    /// The options can't be parsed.
    #[error("{0}")]
    Arguments(#[from] getopts::Fail),
    /// A required option is missing.
    #[error("required option --{0} is missing")]
    MissingOption(&'static str),
    /// An option has an invalid value.
    #[error("invalid value {value:?} for --{option}: {reason}")]
    InvalidValue {
        /// Name of the option.
        option: &'static str,
        /// Value as given.
        value: String,
        /// Why the value is invalid.
        reason: String,
    },
    /// The asynchronous runtime can't be started.
    #[error("cannot start the runtime: {0}")]
    Io(#[from] std::io::Error),
    /// The HTTP client can't be created.
    #[error("cannot create the HTTP client: {0}")]
    Client(#[from] reqwest::Error),
    /// The report can't be serialized.
    #[error("cannot serialize the report: {0}")]
    Report(#[from] serde_json::Error),
}
