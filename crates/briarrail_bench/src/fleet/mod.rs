//! Benchmark of the fleet protocol, simulated in virtual time.
//!
//! The `FleetNode` state machines of `briarrail_fleet` exchange encoded frames. Each case prints
//! one JSON object. Besides the frames, the benchmark counts the bytes that routers use to read
//! targets and the platform, and the number of platform reads.

mod case_report;
mod fleet_measurements;
mod fleet_scenario;
mod fleet_simulation;
mod platform_calls;
mod simulated_platform;
mod simulation_event;

use std::process::ExitCode;

use getopts::Options;

use fleet_scenario::FleetScenario;
use fleet_simulation::FleetSimulation;

const USAGE: &str = "usage: briarrail_bench fleet [options]";

/// Runs the cases that the options select; the exit code tells whether all bounds were kept.
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
    let number_or = |name, default| matches.opt_get_default(name, default).unwrap_or(default);
    let routers = number_or("routers", 9) as usize;
    let seed = number_or("seed", 1);
    let seconds = number_or("seconds", 60);
    let scenario_name = matches.opt_str("scenario");
    let scenarios = FleetScenario::all(seconds).into_iter().filter(|scenario| {
        scenario_name
            .as_ref()
            .is_none_or(|name| name == scenario.name)
    });
    let mut all_bounds_kept = true;
    for scenario in scenarios {
        let mut simulation =
            FleetSimulation::new(routers, seed, scenario, matches.opt_present("baseline"));
        let report = simulation.run();
        all_bounds_kept &= report.broken.is_empty();
        println!(
            "{}",
            serde_json::to_string(&report).expect("reports are plain values")
        );
    }
    if all_bounds_kept {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
