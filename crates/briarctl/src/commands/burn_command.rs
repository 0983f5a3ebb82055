//! Reports on service-level burn.

use briarrail_burn::{AlertLevel, BurnReport, BurnSnapshot};
use briarrail_status::BURN_PATH;
use getopts::Options;
use serde_json::json;

use super::parse;
use crate::arguments::{CommandArguments, CommandSpec, router_options};
use crate::router_finder::{RouterFinder, RouterReply};
use crate::{CommandOutput, CtlError, CtlErrorKind, ExitStatus, RunContext};

const BURN: CommandSpec = CommandSpec {
    words: "burn",
    operands: "",
    summary: "Reports how fast each pool and customer uses up its error budgets, over windows of \
              5 minutes to 3 days.\nExits with 1 when a rate pages or a router is silent.",
    options: burn_options,
};

fn burn_options(options: &mut Options) {
    router_options(options);
    options.optopt("", "svg", "write a picture of the last six hours", "FILE");
    options.optopt("", "pool", "report on this pool only", "NAME");
}

/// Reports on service-level burn.
pub(crate) async fn run(
    arguments: &[String],
    context: &RunContext,
) -> Result<CommandOutput, CtlError> {
    let arguments = match parse(&BURN, arguments, context)? {
        Ok(arguments) => arguments,
        Err(help) => return Ok(help),
    };
    let [] = arguments.operands()?;
    let finder = RouterFinder::new(&arguments).await?;
    let replies = finder.ask_all::<BurnSnapshot>(BURN_PATH).await;
    let (mut snapshot, silent) = merge(replies);
    if let Some(name) = arguments.text("pool") {
        snapshot.pools.retain(|pool| pool.pool == name);
    }
    if let Some(path) = arguments.text("svg") {
        write_picture(&snapshot, &path)?;
    }
    let report = BurnReport::new(&snapshot);
    let is_good = silent.is_empty() && report.level < AlertLevel::Page;
    let output = output(&arguments, &report, &silent);
    Ok(output.with_exit(if is_good {
        ExitStatus::Done
    } else {
        ExitStatus::Findings
    }))
}

fn output(
    arguments: &CommandArguments<'_>,
    report: &BurnReport,
    silent: &[String],
) -> CommandOutput {
    if arguments.is_json() {
        return CommandOutput::json(&json!({ "report": report, "silent": silent }));
    }
    let mut text = report.to_text();
    for router in silent {
        text.push_str(&format!("silent: {router}\n"));
    }
    CommandOutput::text(text)
}

/// Merges what the routers answered, and names those that did not.
fn merge(replies: Vec<RouterReply<BurnSnapshot>>) -> (BurnSnapshot, Vec<String>) {
    let mut merged = BurnSnapshot::default();
    let mut silent = Vec::new();
    for reply in replies {
        match reply.result {
            Ok(snapshot) => merged.merge(snapshot),
            Err(error) => silent.push(format!("{}: {error}", reply.router.name)),
        }
    }
    (merged, silent)
}

fn write_picture(snapshot: &BurnSnapshot, path: &str) -> Result<(), CtlError> {
    let fail = |cause: String| {
        let context = format!("the picture can't be written to {path:?}: {cause}");
        CtlError::new(
            CtlErrorKind::Usage,
            context,
            "name a file that can be written",
        )
    };
    let svg = snapshot.to_svg().map_err(|error| fail(error.to_string()))?;
    std::fs::write(path, svg).map_err(|error| fail(error.to_string()))
}
