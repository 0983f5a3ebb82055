//! Commands that change the tables.

use getopts::Options;

use super::edit_submission::{accepted_before, edit_options, submit};
use super::parse;
use super::table_commands::{diff_with_file, file_options, find_row, read_tables};
use crate::arguments::{CommandArguments, CommandSpec};
use crate::field_path::{parse_field, set_field};
use crate::table_row::{TableName, TableRow};
use crate::{CommandOutput, CtlError, CtlErrorKind, RunContext};

const APPLY: CommandSpec = CommandSpec {
    words: "routes|pools|tables apply",
    operands: "",
    summary: "Writes the rows of a file that differ from those in force, as one edit.\n\
              A row with a stamp (as get prints it) is refused when the row was changed since; \
              a row without one is based on the version in force.",
    options: apply_options,
};

const EDIT: CommandSpec = CommandSpec {
    words: "routes|pools edit",
    operands: "NAME",
    summary: "Changes fields of a row, such as --set limits.max_attempts=2.",
    options: change_options,
};

const DELETE: CommandSpec = CommandSpec {
    words: "routes|pools delete",
    operands: "NAME",
    summary: "Deletes a row.",
    options: delete_options,
};

fn apply_options(options: &mut Options) {
    edit_options(options);
    file_options(options);
}

fn change_options(options: &mut Options) {
    delete_options(options);
    options.optmulti(
        "",
        "set",
        "field and its new value as JSON or text; repeatable",
        "F=V",
    );
}

fn delete_options(options: &mut Options) {
    edit_options(options);
    options.optopt("", "expect", "version that the row must have", "N");
}

/// Writes the rows of a file.
pub(crate) async fn apply(
    scope: Option<TableName>,
    arguments: &[String],
    context: &RunContext,
) -> Result<CommandOutput, CtlError> {
    let arguments = match parse(&APPLY, arguments, context)? {
        Ok(arguments) => arguments,
        Err(help) => return Ok(help),
    };
    let [] = arguments.operands()?;
    if let Some(output) = accepted_before(&arguments).await? {
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
    let arguments = match parse(&EDIT, arguments, context)? {
        Ok(arguments) => arguments,
        Err(help) => return Ok(help),
    };
    let [name] = arguments.operands()?;
    let settings = arguments.texts("set");
    if settings.is_empty() {
        return Err(arguments.usage("say what to change by --set FIELD=VALUE"));
    }
    if let Some(output) = accepted_before(&arguments).await? {
        return Ok(output);
    }
    let snapshot = read_tables(&arguments).await?;
    let row = find_row(&snapshot, table, name)?;
    let edited = with_fields(&arguments, &row, &settings)?;
    let expected = arguments.number("expect")?.unwrap_or(row.version);
    let is_same = edited.fields == row.fields && expected == row.version;
    let changes = if is_same {
        Vec::new()
    } else {
        vec![edited.put(expected)]
    };
    submit(&arguments, changes).await
}

/// Deletes a row.
pub(crate) async fn delete(
    table: TableName,
    arguments: &[String],
    context: &RunContext,
) -> Result<CommandOutput, CtlError> {
    let arguments = match parse(&DELETE, arguments, context)? {
        Ok(arguments) => arguments,
        Err(help) => return Ok(help),
    };
    let [name] = arguments.operands()?;
    if let Some(output) = accepted_before(&arguments).await? {
        return Ok(output);
    }
    let snapshot = read_tables(&arguments).await?;
    let row = find_row(&snapshot, table, name)?;
    let expected = arguments.number("expect")?.unwrap_or(row.version);
    submit(&arguments, vec![row.delete(expected)]).await
}

fn with_fields(
    arguments: &CommandArguments<'_>,
    row: &TableRow,
    settings: &[String],
) -> Result<TableRow, CtlError> {
    let mut value = row.value.clone();
    for setting in settings {
        let Some((path, text)) = setting.split_once('=') else {
            return Err(arguments.usage(format!("--set takes FIELD=VALUE, not {setting:?}")));
        };
        if path == "name" || path.starts_with("stamp") {
            let context = format!("the field {path:?} can't be set");
            return Err(arguments.usage(context));
        }
        set_field(&mut value, path, parse_field(text));
    }
    TableRow::new(row.table, value).map_err(|error| {
        let context = format!("{} row {:?} would be invalid: {error}", row.table, row.name);
        let hint = format!(
            "`briarctl {} get {}` prints the fields",
            row.table, row.name
        );
        CtlError::new(CtlErrorKind::Invalid, context, hint)
    })
}
