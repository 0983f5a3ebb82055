//! Shows the state of the routers.

use briarrail_config::ConfigReader;
use briarrail_status::STATUS_PATH;
use getopts::Options;

use super::parse_or_help;
use super::status_report::StatusReport;
use crate::arguments::{CommandArguments, CommandSpec, add_router_options, add_store_option};
use crate::router_client::RouterClient;
use crate::{CommandOutput, CtlError, ExitStatus, RunContext};

const STATUS: CommandSpec = CommandSpec {
    command: "status",
    operands: "",
    summary: "Shows each router's configuration, control traffic and outcomes, and each pool's \
              targets, load and cache reuse.\nExits with 1 when a router is behind or does not answer.",
    add_options: add_status_options,
};

fn add_status_options(options: &mut Options) {
    add_router_options(options);
    add_store_option(options);
}

/// Shows the state of the routers.
pub(crate) async fn run(
    arguments: &[String],
    context: &RunContext,
) -> Result<CommandOutput, CtlError> {
    let arguments = match parse_or_help(&STATUS, arguments, context)? {
        Ok(arguments) => arguments,
        Err(help) => return Ok(help),
    };
    let [] = arguments.operands()?;
    let router_client = RouterClient::new(&arguments).await?;
    let store_sequence = store_sequence(&arguments).await?;
    let replies = router_client.query_all(STATUS_PATH).await;
    let report = StatusReport::new(replies, store_sequence);
    let output = if arguments.is_json() {
        CommandOutput::json(&report)
    } else {
        CommandOutput::text(report.to_text())
    };
    Ok(output.with_exit(if report.is_healthy() {
        ExitStatus::Success
    } else {
        ExitStatus::Findings
    }))
}

/// Returns the latest sequence number in the store; `None` when no store is given or it does not
/// answer.
async fn store_sequence(arguments: &CommandArguments<'_>) -> Result<Option<u64>, CtlError> {
    let is_named =
        arguments.option_value("store").is_some() || arguments.context.store_url.is_some();
    if !is_named {
        return Ok(None);
    }
    let head = ConfigReader::new(arguments.store_client()?).head().await;
    Ok(head.ok().map(|current| current.head.sequence))
}
