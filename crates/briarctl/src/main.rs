//! Entry point of the command-line tool for operators.

use std::process::ExitCode;

use briarctl::{RunContext, run};

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("briarctl: cannot start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let context = RunContext::from_environment();
    let output = runtime.block_on(run(&arguments, &context));
    print!("{}", output.stdout);
    eprint!("{}", output.stderr);
    ExitCode::from(output.exit.code())
}
