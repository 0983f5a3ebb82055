//! Measures claims.

use std::process::ExitCode;

/// Runs the cases that the options name.
pub(crate) fn run(options: &[String]) -> ExitCode {
    eprintln!("claims: no case is implemented yet: {}", options.join(" "));
    ExitCode::from(2)
}
