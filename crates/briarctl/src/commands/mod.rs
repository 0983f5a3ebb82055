//! Dispatch of the commands.

mod burn_command;
mod check_command;
mod edit_submission;
mod edits_command;
mod status_command;
mod status_report;
mod table_commands;
mod table_edits;
mod trace_command;

use crate::arguments::{CommandArguments, CommandSpec};
use crate::table_row::TableName;
use crate::{CommandOutput, CtlError, RunContext};

const OVERVIEW: &str = "\
Usage: briarctl COMMAND [options]

Manages the routes and pools of briarrail, and shows the state of its routers.

Tables (TABLE is routes, pools, or tables for both):
  TABLE list               list rows
  TABLE apply -f FILE      apply the rows of a file as one edit
  TABLE diff -f FILE       show what apply would change
  routes|pools get NAME    print a row with its version
  routes|pools edit NAME   change fields of a row
  routes|pools delete NAME delete a row
  edits find ID            check whether an edit was accepted

Without network access:
  check tables FILE...     validate tables
  check settings FILE...   validate settings of the daemon
  check gateway FILE...    validate settings of the gateway
  trace --id ID FILE...    show what routers logged about a request

Routers:
  status                   show configuration, targets, load, reuse, control traffic
  burn                     report error budget burn rates

Run `briarctl COMMAND --help` for the options of a command.

Exit codes: 0 success, 1 findings (differences, routers that are behind or do not answer, a
burn rate that pages), 2 invalid arguments, 3 invalid tables or settings, 4 outdated edit,
5 platform or router unreachable and nothing changed, 6 unknown whether an edit was accepted,
7 row or edit not found.
";

/// Runs the command that the arguments name, without the name of the program.
///
/// ```
/// # async fn example() {
/// use briarctl::{ExitStatus, RunContext, run};
///
/// let arguments = ["check", "tables", "examples/saltworks/tables.jsonc"].map(str::to_owned);
/// let output = run(&arguments, &RunContext::from_environment()).await;
/// assert_eq!(output.exit, ExitStatus::Success);
/// # }
/// ```
pub async fn run(arguments: &[String], context: &RunContext) -> CommandOutput {
    let as_json = arguments.iter().any(|argument| argument == "--json");
    match dispatch(arguments, context).await {
        Ok(output) => output,
        Err(error) => CommandOutput::error(&error, as_json),
    }
}

async fn dispatch(arguments: &[String], context: &RunContext) -> Result<CommandOutput, CtlError> {
    let command_words: Vec<_> = arguments.iter().take(2).map(String::as_str).collect();
    match command_words[..] {
        [] | ["--help" | "-h" | "help", ..] => Ok(CommandOutput::text(OVERVIEW)),
        ["status", ..] => status_command::run(&arguments[1..], context).await,
        ["burn", ..] => burn_command::run(&arguments[1..], context).await,
        ["edits", "find"] => edits_command::run(&arguments[2..], context).await,
        ["check", "tables"] => check_command::run_tables(&arguments[2..], context),
        ["check", "gateway"] => check_command::run_gateway(&arguments[2..], context),
        ["trace", ..] => trace_command::run(&arguments[1..], context),
        ["check", "settings"] => check_command::run_settings(&arguments[2..], context),
        [table, action] => {
            let scope = table_scope(table).ok_or_else(|| unknown_command(&command_words))?;
            match table_commands::run(scope, action, &arguments[2..], context).await {
                Some(result) => result,
                None => Err(unknown_command(&command_words)),
            }
        }
        _ => Err(unknown_command(&command_words)),
    }
}

/// Returns the table that the first word of a command selects; `Some(None)` selects both.
fn table_scope(word: &str) -> Option<Option<TableName>> {
    match word {
        "routes" => Some(Some(TableName::Routes)),
        "pools" => Some(Some(TableName::Pools)),
        "tables" => Some(None),
        _ => None,
    }
}

fn unknown_command(command_words: &[&str]) -> CtlError {
    CtlError::usage(format!("unknown command {:?}", command_words.join(" ")), "")
}

/// Parses the arguments of a command; the inner error is its help output.
fn parse_or_help<'a>(
    spec: &'a CommandSpec,
    arguments: &[String],
    context: &'a RunContext,
) -> Result<Result<CommandArguments<'a>, CommandOutput>, CtlError> {
    let parsed = spec.parse(arguments, context)?;
    Ok(parsed.ok_or_else(|| CommandOutput::text(spec.help())))
}
