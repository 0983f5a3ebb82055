//! Submits edits and waits until routers have activated them.

use std::time::Duration;

use briarrail_config::{
    ConfigEditor, ConfigReader, EditId, EditLookup, EditReceipt, EditRequest, RowChange,
};
use briarrail_status::{RouterStatus, STATUS_PATH};
use getopts::Options;
use serde_json::json;
use uuid::Uuid;

use crate::arguments::{CommandArguments, add_router_options, add_store_option};
use crate::router_client::RouterClient;
use crate::{CommandOutput, CtlError, ExitStatus};

/// Delay between two status queries while waiting for routers.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Adds the options of commands that submit an edit.
pub(crate) fn add_edit_options(options: &mut Options) {
    add_store_option(options);
    add_router_options(options);
    options.optopt(
        "",
        "editor",
        "name of the operator (default: $BRIARCTL_EDITOR or $USER)",
        "NAME",
    );
    options.optopt(
        "",
        "edit-id",
        "identifier of the edit, to retry one whose outcome is unknown",
        "UUID",
    );
    options.optopt(
        "",
        "wait-s",
        "longest time to wait until the edit is active on all routers",
        "SECONDS",
    );
}

/// Returns the output for an edit that an earlier run of the command submitted, if `--edit-id`
/// names an accepted one.
pub(crate) async fn find_accepted_edit(
    arguments: &CommandArguments<'_>,
) -> Result<Option<CommandOutput>, CtlError> {
    let Some(text) = arguments.option_value("edit-id") else {
        return Ok(None);
    };
    let id = parse_edit_id(arguments, &text)?;
    let lookup = ConfigReader::new(arguments.store_client()?)
        .find_edit(id)
        .await?;
    Ok(match lookup {
        EditLookup::Accepted(receipt) => Some(accepted_output(arguments.is_json(), receipt, None)),
        EditLookup::NotFound { .. } => None,
    })
}

/// Submits changes as one edit, and waits for the routers if `--wait-s` is given.
pub(crate) async fn submit(
    arguments: &CommandArguments<'_>,
    changes: Vec<RowChange>,
) -> Result<CommandOutput, CtlError> {
    if changes.is_empty() {
        return Ok(if arguments.is_json() {
            CommandOutput::json(&json!({ "accepted": null }))
        } else {
            CommandOutput::text("nothing to change")
        });
    }
    let request = EditRequest {
        id: edit_id(arguments)?,
        editor: editor_name(arguments)?,
        at_ms: arguments.context.now,
        changes,
    };
    let wait_s = arguments.option_number("wait-s")?;
    let router_client = match wait_s {
        Some(_) => Some(RouterClient::new(arguments).await?),
        None => None,
    };
    let editor = ConfigEditor::new(arguments.store_client()?);
    let receipt = editor.submit(&request).await?;
    let behind = match (router_client, wait_s) {
        (Some(router_client), Some(wait_s)) => {
            Some(wait_until_active(&router_client, receipt.sequence, wait_s).await)
        }
        _ => None,
    };
    Ok(accepted_output(
        arguments.is_json(),
        receipt,
        behind.as_deref(),
    ))
}

fn accepted_output(
    as_json: bool,
    receipt: EditReceipt,
    behind: Option<&[String]>,
) -> CommandOutput {
    let output = if as_json {
        CommandOutput::json(&json!({ "accepted": receipt, "behind": behind }))
    } else {
        let mut text = format!(
            "accepted as sequence {} (edit {})",
            receipt.sequence, receipt.id.0
        );
        match behind {
            Some([]) => text.push_str("\nin force on all routers"),
            Some(behind) => {
                let names = behind.join(", ");
                text.push_str(&format!("\nnot yet seen in force on: {names}"));
            }
            None => {}
        }
        CommandOutput::text(text)
    };
    let has_findings = behind.is_some_and(|behind| !behind.is_empty());
    output.with_exit(if has_findings {
        ExitStatus::Findings
    } else {
        ExitStatus::Success
    })
}

/// Waits until an edit is active on all routers; returns the names of those that are still behind
/// or do not answer at the deadline.
async fn wait_until_active(
    router_client: &RouterClient,
    sequence: u64,
    wait_s: u64,
) -> Vec<String> {
    let deadline = tokio::time::Instant::now() + Duration::from_secs(wait_s);
    loop {
        let replies = router_client.query_all::<RouterStatus>(STATUS_PATH).await;
        let behind = replies.into_iter().filter(|reply| match &reply.result {
            Ok(status) => status.config_sequence < sequence,
            Err(_) => true,
        });
        let behind: Vec<_> = behind.map(|reply| reply.router.name).collect();
        if behind.is_empty() || tokio::time::Instant::now() >= deadline {
            return behind;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn edit_id(arguments: &CommandArguments<'_>) -> Result<EditId, CtlError> {
    match arguments.option_value("edit-id") {
        Some(text) => parse_edit_id(arguments, &text),
        None => Ok(arguments.context.edit_id),
    }
}

/// Parses the identifier of an edit.
pub(crate) fn parse_edit_id(
    arguments: &CommandArguments<'_>,
    text: &str,
) -> Result<EditId, CtlError> {
    let usage_error =
        |_| arguments.usage_error(format!("invalid edit identifier {text:?}: expected a UUID"));
    Uuid::parse_str(text).map(EditId).map_err(usage_error)
}

fn editor_name(arguments: &CommandArguments<'_>) -> Result<String, CtlError> {
    let name = arguments.option_value("editor");
    let name = name.or_else(|| arguments.context.editor.clone());
    name.ok_or_else(|| arguments.usage_error("no editor given; use --editor NAME"))
}
