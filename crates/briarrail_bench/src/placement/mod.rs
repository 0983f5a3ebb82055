//! Measures placement.

use std::process::ExitCode;

/// Runs the cases that the options name.
pub(crate) fn run(options: &[String]) -> ExitCode {
    eprintln!(
        "placement: no case is implemented yet: {}",
        options.join(" ")
    );
    ExitCode::from(2)
}
