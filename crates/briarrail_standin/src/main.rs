//! Runs one stand-in as a separate process.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match cli::run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("briarrail_standin: {error}");
            ExitCode::FAILURE
        }
    }
}
