//! Measures placement in virtual time.
//!
//! Many routers with lagged and differing views drive the policy crate; engines are counters with
//! a cache. Each case prints one JSON object.

use std::process::ExitCode;

use briarrail_model::{LoadRecord, MilliTime, RoutingPreference, StableHash};
use getopts::Options;

use case_report::CaseReport;
use fleet_run::{FleetRun, RunSwitches};
use routing_rule::{RULES, RoutingRule};
use scenario_plan::{MEASURED_MS, SCENARIOS, ScenarioPlan};
use site_shape::SiteShape;

mod case_report;
mod chat_source;
mod engine_model;
mod fleet_run;
mod fleet_tick;
mod router_model;
mod routing_rule;
mod run_totals;
mod scenario_plan;
mod site_shape;
mod skew_meter;
mod timed_event;

/// Times that a record crosses a router's network interface: received once, sent on once.
const CROSSINGS: f64 = 2.0;

/// Runs the cases that the options name.
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
    let mut options = Options::new();
    options.optopt("", "site", "saltworks, smilsu or target", "SITE");
    options.optopt("", "policy", "one policy, default all", "POLICY");
    options.optopt("", "scenario", "one scenario, default all", "SCENARIO");
    options.optopt("", "seed", "seed of the case", "N");
    options.optopt("", "bound", "skew bound of the pool", "MULTIPLE");
    options.optopt("", "preference", "even_load or cache_reuse", "PREFERENCE");
    options.optopt("", "streams", "mean streams of an engine", "N");
    options.optopt("", "peer-counts", "on or off", "SWITCH");
    options.optopt("", "admission", "on or off", "SWITCH");
    let matches = options
        .parse(arguments)
        .map_err(|error| error.to_string())?;
    let text = |name: &str, default: &str| matches.opt_str(name).unwrap_or_else(|| default.into());
    let site = text("site", "saltworks");
    let mut shape = SiteShape::named(&site).ok_or(format!("no site is named {site}"))?;
    if let Some(bound) = matches
        .opt_get("bound")
        .map_err(|_| "--bound is not a number")?
    {
        shape.skew_bound = bound;
    }
    if let Some(streams) = matches
        .opt_get("streams")
        .map_err(|_| "--streams is not a number")?
    {
        shape.streams = streams;
    }
    match text("preference", "").as_str() {
        "" => {}
        "even_load" => shape.preference = RoutingPreference::EvenLoad,
        "cache_reuse" => shape.preference = RoutingPreference::CacheReuse,
        other => return Err(format!("no preference is named {other}")),
    }
    let seed = matches
        .opt_get_default("seed", 1)
        .map_err(|_| "--seed is not a number")?;
    let switches = RunSwitches {
        admission: text("admission", "on") == "on",
        peer_counts: text("peer-counts", "on") == "on",
    };
    let policy = text("policy", "all");
    let scenario = text("scenario", "all");
    let plans = SCENARIOS
        .iter()
        .filter(|plan| scenario == "all" || plan.name == scenario);
    for plan in plans {
        let rules = RULES
            .iter()
            .filter(|rule| policy == "all" || rule.name() == policy);
        for &rule in rules {
            let report = run_case(shape, *plan, rule, switches, seed);
            let line = serde_json::to_string(&report).map_err(|error| error.to_string())?;
            println!("{line}");
        }
    }
    Ok(())
}

fn run_case(
    shape: SiteShape,
    plan: ScenarioPlan,
    rule: RoutingRule,
    switches: RunSwitches,
    seed: u64,
) -> CaseReport {
    let (mut totals, mut meter) = FleetRun::new(shape, plan, rule, switches, seed).run();
    let seconds = MEASURED_MS as f64 / 1_000.0;
    let records_per_s = totals.records as f64 * shape.pools as f64 / seconds;
    let requests = totals.requests as f64;
    totals.decision_ns.sort_unstable();
    let decision = |part: f64| {
        let last = totals.decision_ns.len().saturating_sub(1) as f64;
        totals
            .decision_ns
            .get((part * last) as usize)
            .copied()
            .unwrap_or_default()
    };
    let returning = totals.returning.max(1) as f64;
    CaseReport {
        site: shape.name,
        policy: rule.name(),
        scenario: plan.name,
        seed,
        admission: switches.admission,
        cache_reuse: totals.hits as f64 / returning,
        others_cache_reuse: totals.others_hits as f64 / totals.others_returning.max(1) as f64,
        prefix_reuse: totals.prefix / returning,
        skew_p50: meter.quantile(0.5),
        skew_p99: meter.quantile(0.99),
        skew_max: meter.max,
        skew_max_live: meter.max_live,
        control_bytes_per_router_s: records_per_s * CROSSINGS * record_bytes(),
        records_per_s,
        decision_ns_p50: decision(0.5),
        decision_ns_p99: decision(0.99),
        state_bytes: totals.state_bytes,
        others_wait_ms_p50: totals.others_wait.value_at_quantile(0.5),
        others_wait_ms_p99: totals.others_wait.value_at_quantile(0.99),
        surger_wait_ms_p99: totals.surger_wait.value_at_quantile(0.99),
        requests: totals.requests,
        waited_part: totals.waited as f64 / requests,
        others_waited_part: totals.others_waited as f64 / requests,
        refused_part: totals.refused as f64 / requests,
        others_refused_part: totals.others_refused as f64 / requests,
    }
}

/// Returns the encoded bytes of a target's hash and its record.
fn record_bytes() -> f64 {
    let record = LoadRecord {
        version: MilliTime::from_millis(1_790_000_000_000),
        streams: 200,
        keep_share: u8::MAX,
    };
    let encoded = rmp_serde::to_vec(&(StableHash(u64::MAX), record));
    encoded.map_or(0.0, |bytes| bytes.len() as f64)
}
