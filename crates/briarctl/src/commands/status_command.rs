//! Shows the state of the routers.

use briarrail_config::ConfigReader;
use briarrail_status::STATUS_PATH;
use getopts::Options;

use super::parse;
use super::status_report::StatusReport;
use crate::arguments::{CommandArguments, CommandSpec, router_options, store_option};
use crate::router_finder::RouterFinder;
use crate::{CommandOutput, CtlError, ExitStatus, RunContext};

const STATUS: CommandSpec = CommandSpec {
    words: "status",
    operands: "",
    summary: "Shows each router's configuration, control traffic and outcomes, and each pool's \
              targets, load and cache reuse.\nExits with 1 when a router is behind or silent.",
    options: status_options,
};

fn status_options(options: &mut Options) {
    router_options(options);
    store_option(options);
}

/// Shows the state of the routers.
pub(crate) async fn run(
    arguments: &[String],
    context: &RunContext,
) -> Result<CommandOutput, CtlError> {
    let arguments = match parse(&STATUS, arguments, context)? {
        Ok(arguments) => arguments,
        Err(help) => return Ok(help),
    };
    let [] = arguments.operands()?;
    let finder = RouterFinder::new(&arguments).await?;
    let head_sequence = head_sequence(&arguments).await?;
    let replies = finder.ask_all(STATUS_PATH).await;
    let report = StatusReport::new(replies, head_sequence);
    let output = if arguments.is_json() {
        CommandOutput::json(&report)
    } else {
        CommandOutput::text(report.to_text())
    };
    Ok(output.with_exit(if report.is_good() {
        ExitStatus::Done
    } else {
        ExitStatus::Findings
    }))
}

/// Returns the store's sequence number, when the store is named and answers.
async fn head_sequence(arguments: &CommandArguments<'_>) -> Result<Option<u64>, CtlError> {
    let is_named = arguments.text("store").is_some() || arguments.context.store_url.is_some();
    if !is_named {
        return Ok(None);
    }
    let head = ConfigReader::new(arguments.store()?).head().await;
    Ok(head.ok().map(|current| current.head.sequence))
}
