//! Commands that read the tables.

use std::fmt::Write;
use std::path::Path;

use briarrail_config::ConfigReader;
use briarrail_model::ConfigSnapshot;
use getopts::Options;
use serde_json::{Value, json};

use super::{parse_or_help, table_edits};
use crate::arguments::{CommandArguments, CommandSpec, add_store_option};
use crate::field_path::flatten;
use crate::table_diff::TableDiff;
use crate::table_row::{TableName, TableRow};
use crate::{CommandOutput, CtlError, CtlErrorKind, ExitStatus, RunContext, TableFile};

const LIST: CommandSpec = CommandSpec {
    command: "routes|pools|tables list",
    operands: "",
    summary: "Lists the current rows with their versions and editors.",
    add_options: add_store_option,
};

const GET: CommandSpec = CommandSpec {
    command: "routes|pools get",
    operands: "NAME",
    summary: "Prints a row with its version, in the format that apply reads.",
    add_options: add_store_option,
};

const DIFF: CommandSpec = CommandSpec {
    command: "routes|pools|tables diff",
    operands: "",
    summary: "Shows what apply would change; exits with 1 when there are differences.",
    add_options: add_diff_options,
};

fn add_diff_options(options: &mut Options) {
    add_store_option(options);
    add_file_options(options);
}

/// Adds the options of commands that compare a file with the tables.
pub(crate) fn add_file_options(options: &mut Options) {
    options.optopt(
        "f",
        "file",
        "file with routes and pools as JSON with comments",
        "FILE",
    );
    options.optflag("", "prune", "delete rows that are not in the file");
}

/// Runs a command on one table, or on both if `scope` is `None`; returns `None` for an unknown
/// action.
pub(crate) async fn run(
    scope: Option<TableName>,
    action: &str,
    arguments: &[String],
    context: &RunContext,
) -> Option<Result<CommandOutput, CtlError>> {
    Some(match (action, scope) {
        ("list", _) => list(scope, arguments, context).await,
        ("diff", _) => diff(scope, arguments, context).await,
        ("apply", _) => table_edits::apply(scope, arguments, context).await,
        ("get", Some(table)) => get(table, arguments, context).await,
        ("edit", Some(table)) => table_edits::edit(table, arguments, context).await,
        ("delete", Some(table)) => table_edits::delete(table, arguments, context).await,
        _ => return None,
    })
}

/// Reads the current tables.
pub(crate) async fn read_tables(
    arguments: &CommandArguments<'_>,
) -> Result<ConfigSnapshot, CtlError> {
    Ok(ConfigReader::new(arguments.store_client()?)
        .snapshot()
        .await?)
}

/// Compares the file of the arguments with the current tables.
pub(crate) async fn diff_with_file(
    scope: Option<TableName>,
    arguments: &CommandArguments<'_>,
) -> Result<TableDiff, CtlError> {
    let path = arguments.option_value("file");
    let path = path.ok_or_else(|| arguments.usage_error("no file given; use -f FILE"))?;
    let file = TableFile::read(Path::new(&path))?;
    let snapshot = read_tables(arguments).await?;
    let mut current = TableRow::from_tables(&snapshot.tables);
    current.retain(|row| scope.is_none_or(|table| row.table == table));
    let desired = file.rows(scope);
    Ok(TableDiff::new(
        &current,
        &desired,
        arguments.has_flag("prune"),
    ))
}

/// Returns the row with a name.
///
/// # Errors
///
/// Fails when the table has no such row.
pub(crate) fn find_row(
    snapshot: &ConfigSnapshot,
    table: TableName,
    name: &str,
) -> Result<TableRow, CtlError> {
    let rows = TableRow::from_tables(&snapshot.tables).into_iter();
    let mut rows = rows.filter(|row| row.table == table);
    rows.find(|row| row.name == name).ok_or_else(|| {
        let context = format!("no row {name:?} in the {table} table");
        let hint = format!("run `briarctl {table} list` to list the rows");
        CtlError::new(CtlErrorKind::NotFound, context, hint)
    })
}

async fn list(
    scope: Option<TableName>,
    arguments: &[String],
    context: &RunContext,
) -> Result<CommandOutput, CtlError> {
    let arguments = match parse_or_help(&LIST, arguments, context)? {
        Ok(arguments) => arguments,
        Err(help) => return Ok(help),
    };
    let [] = arguments.operands()?;
    let snapshot = read_tables(&arguments).await?;
    let mut rows = TableRow::from_tables(&snapshot.tables);
    rows.retain(|row| scope.is_none_or(|table| row.table == table));
    if !arguments.is_json() {
        return Ok(CommandOutput::text(list_text(snapshot.sequence, &rows)));
    }
    let values = |table| -> Vec<&Value> {
        let rows = rows.iter().filter(|row| row.table == table);
        rows.map(|row| &row.value).collect()
    };
    Ok(CommandOutput::json(&json!({
        "sequence": snapshot.sequence,
        "pools": values(TableName::Pools),
        "routes": values(TableName::Routes),
    })))
}

fn list_text(sequence: u64, rows: &[TableRow]) -> String {
    let mut text = format!("sequence {sequence}\n");
    let headers = ["table", "name", "version", "edited by"];
    let [table, name, version, editor] = headers;
    // Writing to a `String` never fails.
    let _ = writeln!(
        text,
        "{table:<8}{name:<24}{version:>8}  {editor:<16}summary"
    );
    for row in rows {
        let editor = row.value["stamp"]["edited_by"].as_str().unwrap_or_default();
        let summary = summary(row);
        let line = format!(
            "{:<8}{:<24}{:>8}  {editor:<16}{summary}",
            row.table, row.name, row.version
        );
        let _ = writeln!(text, "{}", line.trim_end());
    }
    text
}

/// Returns the most important fields of a row as `path=value` pairs.
fn summary(row: &TableRow) -> String {
    let shown_fields: &[&str] = match row.table {
        TableName::Pools => &["kind", "targets", "skew_bound", "preference"],
        TableName::Routes => &["match", "pool", "semantics", "priority"],
    };
    let is_shown = |path: &str| {
        let first = path.split('.').next().unwrap_or(path);
        shown_fields.contains(&first)
    };
    let fields = flatten(&row.fields).into_iter();
    let fields = fields.filter(|(path, value)| is_shown(path) && *value != json!({}));
    let texts: Vec<_> = fields
        .map(|(path, value)| match value {
            Value::String(text) => format!("{path}={text}"),
            other => format!("{path}={other}"),
        })
        .collect();
    texts.join(" ")
}

async fn get(
    table: TableName,
    arguments: &[String],
    context: &RunContext,
) -> Result<CommandOutput, CtlError> {
    let arguments = match parse_or_help(&GET, arguments, context)? {
        Ok(arguments) => arguments,
        Err(help) => return Ok(help),
    };
    let [name] = arguments.operands()?;
    let snapshot = read_tables(&arguments).await?;
    let row = find_row(&snapshot, table, name)?;
    Ok(CommandOutput::json(&json!({ table.as_str(): [row.value] })))
}

async fn diff(
    scope: Option<TableName>,
    arguments: &[String],
    context: &RunContext,
) -> Result<CommandOutput, CtlError> {
    let arguments = match parse_or_help(&DIFF, arguments, context)? {
        Ok(arguments) => arguments,
        Err(help) => return Ok(help),
    };
    let [] = arguments.operands()?;
    let diff = diff_with_file(scope, &arguments).await?;
    let output = if arguments.is_json() {
        CommandOutput::json(&diff)
    } else {
        CommandOutput::text(diff.to_text())
    };
    let exit = if diff.rows.is_empty() {
        ExitStatus::Success
    } else {
        ExitStatus::Findings
    };
    Ok(output.with_exit(exit))
}
