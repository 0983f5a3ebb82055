//! Benchmark of placement policies, simulated in virtual time.
//!
//! Many routers, each with its own delayed view of the engines, call `briarrail_policy`. An engine
//! is modelled by its slots, its queue and its context cache. Each case prints one JSON object.

use std::process::ExitCode;

use briarrail_model::{LoadRecord, MilliTime, RoutingPreference, StableHash};
use getopts::Options;

use case_report::CaseReport;
use routing_policy::{POLICIES, RoutingPolicy};
use scenario::{MEASURED_MS, SCENARIOS, Scenario};
use simulation::{Simulation, SimulationOptions};
use site_parameters::SiteParameters;

mod arrival_generator;
mod case_report;
mod case_totals;
mod engine_model;
mod router_model;
mod routing_policy;
mod scenario;
mod scheduled_event;
mod simulation;
mod simulation_tick;
mod site_parameters;
mod skew_meter;

/// Times that a record passes a router's network interface: received once, forwarded once.
const TRANSFERS_PER_RECORD: f64 = 2.0;

/// Runs the cases that the options select.
pub(crate) fn run(options: &[String]) -> ExitCode {
    match run_cases(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("placement: {message}");
            ExitCode::from(2)
        }
    }
}

fn run_cases(arguments: &[String]) -> Result<(), String> {
    let mut parser = Options::new();
    parser.optopt("", "site", "saltworks, smilsu or target", "SITE");
    parser.optopt("", "policy", "one policy, default all", "POLICY");
    parser.optopt("", "scenario", "one scenario, default all", "SCENARIO");
    parser.optopt("", "seed", "seed of the case", "N");
    parser.optopt("", "bound", "skew bound of the pool", "MULTIPLE");
    parser.optopt("", "preference", "even_load or cache_reuse", "PREFERENCE");
    parser.optopt("", "streams", "mean streams of an engine", "N");
    parser.optopt("", "peer-counts", "on or off", "SWITCH");
    parser.optopt("", "admission", "on or off", "SWITCH");
    let matches = parser.parse(arguments).map_err(|error| error.to_string())?;
    let option_or =
        |name: &str, default: &str| matches.opt_str(name).unwrap_or_else(|| default.into());
    let site_name = option_or("site", "saltworks");
    let mut site =
        SiteParameters::by_name(&site_name).ok_or(format!("unknown site {site_name}"))?;
    if let Some(bound) = matches
        .opt_get("bound")
        .map_err(|_| "--bound is not a number")?
    {
        site.skew_bound = bound;
    }
    if let Some(streams) = matches
        .opt_get("streams")
        .map_err(|_| "--streams is not a number")?
    {
        site.mean_streams = streams;
    }
    match option_or("preference", "").as_str() {
        "" => {}
        "even_load" => site.preference = RoutingPreference::EvenLoad,
        "cache_reuse" => site.preference = RoutingPreference::CacheReuse,
        other => return Err(format!("unknown preference {other}")),
    }
    let seed = matches
        .opt_get_default("seed", 1)
        .map_err(|_| "--seed is not a number")?;
    let options = SimulationOptions {
        admission: option_or("admission", "on") == "on",
        peer_counts: option_or("peer-counts", "on") == "on",
    };
    let policy_name = option_or("policy", "all");
    let scenario_name = option_or("scenario", "all");
    let scenarios = SCENARIOS
        .iter()
        .filter(|scenario| scenario_name == "all" || scenario.name == scenario_name);
    for scenario in scenarios {
        let policies = POLICIES
            .iter()
            .filter(|policy| policy_name == "all" || policy.name() == policy_name);
        for &policy in policies {
            let report = run_case(site, *scenario, policy, options, seed);
            let line = serde_json::to_string(&report).map_err(|error| error.to_string())?;
            println!("{line}");
        }
    }
    Ok(())
}

fn run_case(
    site: SiteParameters,
    scenario: Scenario,
    policy: RoutingPolicy,
    options: SimulationOptions,
    seed: u64,
) -> CaseReport {
    let (mut totals, mut skew_meter) = Simulation::new(site, scenario, policy, options, seed).run();
    let seconds = MEASURED_MS as f64 / 1_000.0;
    let records_per_s = totals.records as f64 * site.pools as f64 / seconds;
    let requests = totals.requests as f64;
    totals.decision_ns.sort_unstable();
    let decision_quantile = |quantile: f64| {
        let last = totals.decision_ns.len().saturating_sub(1) as f64;
        totals
            .decision_ns
            .get((quantile * last) as usize)
            .copied()
            .unwrap_or_default()
    };
    let returning_turns = totals.returning_turns.max(1) as f64;
    CaseReport {
        site: site.name,
        policy: policy.name(),
        scenario: scenario.name,
        seed,
        admission: options.admission,
        cache_reuse: totals.cache_hits as f64 / returning_turns,
        others_cache_reuse: totals.others_cache_hits as f64
            / totals.others_returning_turns.max(1) as f64,
        prefix_reuse: totals.prefix_reuse_sum / returning_turns,
        skew_p50: skew_meter.quantile(0.5),
        skew_p99: skew_meter.quantile(0.99),
        skew_max: skew_meter.max,
        skew_max_live: skew_meter.max_live,
        control_bytes_per_router_s: records_per_s * TRANSFERS_PER_RECORD * encoded_record_bytes(),
        records_per_s,
        decision_ns_p50: decision_quantile(0.5),
        decision_ns_p99: decision_quantile(0.99),
        state_bytes: totals.state_bytes,
        others_wait_ms_p50: totals.others_first_token_ms.value_at_quantile(0.5),
        others_wait_ms_p99: totals.others_first_token_ms.value_at_quantile(0.99),
        surger_wait_ms_p99: totals.surging_first_token_ms.value_at_quantile(0.99),
        requests: totals.requests,
        waited_part: totals.waited as f64 / requests,
        others_waited_part: totals.others_waited as f64 / requests,
        refused_part: totals.refused as f64 / requests,
        others_refused_part: totals.others_refused as f64 / requests,
    }
}

/// Returns the encoded size of a target's hash with its load record, in bytes.
fn encoded_record_bytes() -> f64 {
    let record = LoadRecord {
        version: MilliTime::from_millis(1_790_000_000_000),
        streams: 200,
        keep_share: u8::MAX,
    };
    let encoded = rmp_serde::to_vec(&(StableHash(u64::MAX), record));
    encoded.map_or(0.0, |bytes| bytes.len() as f64)
}
