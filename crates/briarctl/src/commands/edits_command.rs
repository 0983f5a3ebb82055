//! Looks up edits.

use briarrail_config::{ConfigReader, EditLookup};
use serde_json::json;

use super::edit_submission::parse_edit_id;
use super::parse_or_help;
use crate::arguments::{CommandSpec, add_store_option};
use crate::{CommandOutput, CtlError, ExitStatus, RunContext};

const FIND: CommandSpec = CommandSpec {
    command: "edits find",
    operands: "ID",
    summary: "Checks whether an edit was accepted, for example after a lost reply.",
    add_options: add_store_option,
};

/// Checks whether an edit was accepted.
pub(crate) async fn run(
    arguments: &[String],
    context: &RunContext,
) -> Result<CommandOutput, CtlError> {
    let arguments = match parse_or_help(&FIND, arguments, context)? {
        Ok(arguments) => arguments,
        Err(help) => return Ok(help),
    };
    let [text] = arguments.operands()?;
    let id = parse_edit_id(&arguments, text)?;
    let lookup = ConfigReader::new(arguments.store_client()?)
        .find_edit(id)
        .await?;
    Ok(match lookup {
        EditLookup::Accepted(receipt) if arguments.is_json() => {
            CommandOutput::json(&json!({ "accepted": receipt }))
        }
        EditLookup::Accepted(receipt) => {
            CommandOutput::text(format!("accepted as sequence {}", receipt.sequence))
        }
        EditLookup::NotFound { oldest_sequence } if arguments.is_json() => {
            let value = json!({ "accepted": null, "searched_from": oldest_sequence });
            CommandOutput::json(&value).with_exit(ExitStatus::NotFound)
        }
        EditLookup::NotFound { oldest_sequence } => {
            let text = format!("not among the accepted edits from sequence {oldest_sequence} on");
            CommandOutput::text(text).with_exit(ExitStatus::NotFound)
        }
    })
}
