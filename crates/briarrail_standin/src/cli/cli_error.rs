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
    /// An option has a value that doesn't fit.
    #[error("--{option}: {value:?} is not valid: {hint}")]
    Value {
        /// Name of the option.
        option: String,
        /// Its value.
        value: String,
        /// What was expected.
        hint: String,
    },
    /// A file could not be read, or the address could not be bound.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}
