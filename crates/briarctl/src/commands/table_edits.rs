//! Commands that change the tables.

use getopts::Options;

use super::edit_submission::{add_edit_options, find_accepted_edit, submit};
use super::parse_or_help;
use super::table_commands::{add_file_options, diff_with_file, find_row, read_tables};
use crate::arguments::{CommandArguments, CommandSpec};
use crate::field_path::{parse_field_value, set_field};
use crate::table_row::{TableName, TableRow};
use crate::{CommandOutput, CtlError, CtlErrorKind, RunContext};

const APPLY: CommandSpec = CommandSpec {
    command: "routes|pools|tables apply",
    operands: "",
    summary: "Applies the rows of a file that differ from the current ones, as one edit.\n\
              A row with a stamp (as get prints it) is rejected when it has changed since; a row \
              without one is based on the current version.",
    add_options: add_apply_options,
};

const EDIT: CommandSpec = CommandSpec {
    command: "routes|pools edit",
    operands: "NAME",
    summary: "Changes fields of a row, for example --set limits.max_attempts=2.",
    add_options: add_set_options,
};

const DELETE: CommandSpec = CommandSpec {
    command: "routes|pools delete",
    operands: "NAME",
    summary: "Deletes a row.",
    add_options: add_delete_options,
};

fn add_apply_options(options: &mut Options) {
    add_edit_options(options);
    add_file_options(options);
}

fn add_set_options(options: &mut Options) {
    add_delete_options(options);
    options.optmulti(
        "",
        "set",
        "field path and its new value, as JSON or plain text; repeatable",
        "F=V",
    );
}

fn add_delete_options(options: &mut Options) {
    add_edit_options(options);
    options.optopt("", "expect", "expected version of the row", "N");
}

/// Applies the rows of a file.
pub(crate) async fn apply(
    scope: Option<TableName>,
    arguments: &[String],
    context: &RunContext,
) -> Result<CommandOutput, CtlError> {
    let arguments = match parse_or_help(&APPLY, arguments, context)? {
        Ok(arguments) => arguments,
        Err(help) => return Ok(help),
    };
    let [] = arguments.operands()?;
    if let Some(output) = find_accepted_edit(&arguments).await? {
        return Ok(output);
    }
    let diff = diff_with_file(scope, &arguments).await?;
    submit(&arguments, diff.changes()).await
}

/// Changes fields of a row.
pub(crate) async fn edit(
    table: TableName,
    arguments: &[String],
    context: &RunContext,
) -> Result<CommandOutput, CtlError> {
    let arguments = match parse_or_help(&EDIT, arguments, context)? {
        Ok(arguments) => arguments,
        Err(help) => return Ok(help),
    };
    let [name] = arguments.operands()?;
    let assignments = arguments.option_values("set");
    if assignments.is_empty() {
        return Err(arguments.usage_error("no changes given; use --set FIELD=VALUE"));
    }
    if let Some(output) = find_accepted_edit(&arguments).await? {
        return Ok(output);
    }
    let snapshot = read_tables(&arguments).await?;
    let row = find_row(&snapshot, table, name)?;
    let edited = apply_assignments(&arguments, &row, &assignments)?;
    let expected_version = arguments.option_number("expect")?.unwrap_or(row.version);
    let is_unchanged = edited.fields == row.fields && expected_version == row.version;
    let changes = if is_unchanged {
        Vec::new()
    } else {
        vec![edited.put_change(expected_version)]
    };
    submit(&arguments, changes).await
}

/// Deletes a row.
pub(crate) async fn delete(
    table: TableName,
    arguments: &[String],
    context: &RunContext,
) -> Result<CommandOutput, CtlError> {
    let arguments = match parse_or_help(&DELETE, arguments, context)? {
        Ok(arguments) => arguments,
        Err(help) => return Ok(help),
    };
    let [name] = arguments.operands()?;
    if let Some(output) = find_accepted_edit(&arguments).await? {
        return Ok(output);
    }
    let snapshot = read_tables(&arguments).await?;
    let row = find_row(&snapshot, table, name)?;
    let expected_version = arguments.option_number("expect")?.unwrap_or(row.version);
    submit(&arguments, vec![row.delete_change(expected_version)]).await
}

/// Returns a row with the `--set` assignments applied.
fn apply_assignments(
    arguments: &CommandArguments<'_>,
    row: &TableRow,
    assignments: &[String],
) -> Result<TableRow, CtlError> {
    let mut value = row.value.clone();
    for assignment in assignments {
        let Some((path, text)) = assignment.split_once('=') else {
            return Err(arguments.usage_error(format!(
                "invalid value {assignment:?} for --set: expected FIELD=VALUE"
            )));
        };
        if path == "name" || path.starts_with("stamp") {
            let context = format!("the field {path:?} is read-only");
            return Err(arguments.usage_error(context));
        }
        set_field(&mut value, path, parse_field_value(text));
    }
    TableRow::new(row.table, value).map_err(|error| {
        let context = format!("{} row {:?} would be invalid: {error}", row.table, row.name);
        let hint = format!(
            "run `briarctl {} get {}` to print the fields",
            row.table, row.name
        );
        CtlError::new(CtlErrorKind::Invalid, context, hint)
    })
}
