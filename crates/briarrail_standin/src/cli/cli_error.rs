//! Errors of the command line.

use thiserror::Error;

/// Error of a command.
#[derive(Debug, Error)]
pub(crate) enum CliError {
    /// The command is missing or unknown; carries the usage text.
    #[error("missing or unknown command\n\n{0}")]
    Usage(String),
    /// The arguments could not be parsed.
    #[error("{0}")]
    Arguments(#[from] getopts::Fail),
    /// An option has an invalid value.
    #[error("invalid value {value:?} for --{option}: {reason}")]
    InvalidValue {
        /// Name of the option.
        option: String,
        /// Value of the option.
        value: String,
        /// Why the value is invalid.
        reason: String,
    },
    /// A file could not be read, or the address could not be bound.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}
