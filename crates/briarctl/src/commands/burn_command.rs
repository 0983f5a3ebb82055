//! Reports error budget burn rates.

use briarrail_burn::{AlertLevel, BurnReport, BurnSnapshot};
use briarrail_status::BURN_PATH;
use getopts::Options;
use serde_json::json;

use super::parse_or_help;
use crate::arguments::{CommandArguments, CommandSpec, add_router_options};
use crate::router_client::{RouterClient, RouterReply};
use crate::{CommandOutput, CtlError, CtlErrorKind, ExitStatus, RunContext};

const BURN: CommandSpec = CommandSpec {
    command: "burn",
    operands: "",
    summary: "Reports how fast each pool and customer consumes its error budgets, over windows of \
              5 minutes to 3 days.\nExits with 1 when a burn rate pages or a router does not \
              answer.",
    add_options: add_burn_options,
};

fn add_burn_options(options: &mut Options) {
    add_router_options(options);
    options.optopt(
        "",
        "svg",
        "write a chart of the last six hours as SVG",
        "FILE",
    );
    options.optopt("", "pool", "report only this pool", "NAME");
}

/// Reports error budget burn rates.
pub(crate) async fn run(
    arguments: &[String],
    context: &RunContext,
) -> Result<CommandOutput, CtlError> {
    let arguments = match parse_or_help(&BURN, arguments, context)? {
        Ok(arguments) => arguments,
        Err(help) => return Ok(help),
    };
    let [] = arguments.operands()?;
    let router_client = RouterClient::new(&arguments).await?;
    let replies = router_client.query_all::<BurnSnapshot>(BURN_PATH).await;
    let (mut snapshot, unreachable) = merge_snapshots(replies);
    if let Some(name) = arguments.option_value("pool") {
        snapshot.pools.retain(|pool| pool.pool == name);
    }
    if let Some(path) = arguments.option_value("svg") {
        write_svg(&snapshot, &path)?;
    }
    let report = BurnReport::new(&snapshot);
    let is_healthy = unreachable.is_empty() && report.level < AlertLevel::Page;
    let output = output(&arguments, &report, &unreachable);
    Ok(output.with_exit(if is_healthy {
        ExitStatus::Success
    } else {
        ExitStatus::Findings
    }))
}

fn output(
    arguments: &CommandArguments<'_>,
    report: &BurnReport,
    unreachable: &[String],
) -> CommandOutput {
    if arguments.is_json() {
        return CommandOutput::json(&json!({ "report": report, "silent": unreachable }));
    }
    let mut text = report.to_text();
    for router in unreachable {
        text.push_str(&format!("silent: {router}\n"));
    }
    CommandOutput::text(text)
}

/// Merges the snapshots of all routers; also returns the name and the error of each router that
/// returned none.
fn merge_snapshots(replies: Vec<RouterReply<BurnSnapshot>>) -> (BurnSnapshot, Vec<String>) {
    let mut merged = BurnSnapshot::default();
    let mut unreachable = Vec::new();
    for reply in replies {
        match reply.result {
            Ok(snapshot) => merged.merge(snapshot),
            Err(error) => unreachable.push(format!("{}: {error}", reply.router.name)),
        }
    }
    (merged, unreachable)
}

fn write_svg(snapshot: &BurnSnapshot, path: &str) -> Result<(), CtlError> {
    let write_error = |cause: String| {
        let context = format!("cannot write the chart to {path:?}: {cause}");
        CtlError::new(CtlErrorKind::Usage, context, "specify a writable file")
    };
    let svg = snapshot
        .to_svg()
        .map_err(|error| write_error(error.to_string()))?;
    std::fs::write(path, svg).map_err(|error| write_error(error.to_string()))
}
