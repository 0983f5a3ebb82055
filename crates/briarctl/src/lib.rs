//! The command-line tool for operators, as a library.
//!
//! [`run`] takes the arguments and returns the output and the exit status, so that tests can run
//! commands without starting a process.

mod arguments;
mod command_output;
mod commands;
mod ctl_error;
mod exit_status;
mod field_path;
mod router_client;
mod run_context;
mod table_diff;
mod table_file;
mod table_row;

pub use command_output::CommandOutput;
pub use commands::run;
pub use ctl_error::{CtlError, CtlErrorKind};
pub use exit_status::ExitStatus;
pub use run_context::RunContext;
pub use table_file::{FileError, FileErrors, TableFile};
