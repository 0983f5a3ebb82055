//! Measures the fleet: the real state machines hand each other encoded frames in virtual time.
//!
//! Prints one JSON object a case. Two terms are counted beside the frames: the bytes with which
//! routers read targets and the platform, and the reads of the platform themselves.

mod bench_event;
mod bench_fleet;
mod bench_measures;
mod bench_platform;
mod bench_scenario;
mod case_report;
mod platform_calls;

use std::process::ExitCode;

use getopts::Options;

use bench_fleet::BenchFleet;
use bench_scenario::BenchScenario;

const USAGE: &str = "usage: briarrail_bench fleet [options]";

/// Runs the cases that the options name; the exit code tells whether all bounds were kept.
pub(crate) fn run(options: &[String]) -> ExitCode {
    let mut parser = Options::new();
    parser.optopt("", "routers", "number of routers (9)", "N");
    parser.optopt("", "seed", "seed of all random choices (1)", "S");
    parser.optopt("", "scenario", "one scenario instead of all", "NAME");
    parser.optopt(
        "",
        "seconds",
        "measured seconds of steady scenarios (60)",
        "T",
    );
    parser.optflag("", "baseline", "let every router watch the platform itself");
    let Ok(matches) = parser.parse(options) else {
        eprintln!("{}", parser.usage(USAGE));
        return ExitCode::from(2);
    };
    let number = |name, default| matches.opt_get_default(name, default).unwrap_or(default);
    let routers = number("routers", 9) as usize;
    let seed = number("seed", 1);
    let seconds = number("seconds", 60);
    let only = matches.opt_str("scenario");
    let chosen = BenchScenario::all(seconds)
        .into_iter()
        .filter(|scenario| only.as_ref().is_none_or(|name| name == scenario.name));
    let mut kept = true;
    for scenario in chosen {
        let mut fleet = BenchFleet::new(routers, seed, scenario, matches.opt_present("baseline"));
        let report = fleet.run();
        kept &= report.broken.is_empty();
        println!(
            "{}",
            serde_json::to_string(&report).expect("reports are plain values")
        );
    }
    if kept {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
