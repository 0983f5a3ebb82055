//! Benchmarks that simulate routers, engines and the platform in virtual time.

use std::process::ExitCode;

mod claims;
mod fleet;
mod placement;

const USAGE: &str = "usage: briarrail_bench placement|claims|fleet [options]";

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let command = args.next().unwrap_or_default();
    let options: Vec<String> = args.collect();
    match command.as_str() {
        "placement" => placement::run(&options),
        "claims" => claims::run(&options),
        "fleet" => fleet::run(&options),
        _ => {
            eprintln!("{USAGE}");
            ExitCode::from(2)
        }
    }
}
