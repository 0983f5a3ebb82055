//! Checks files without contacting anything.

use std::path::Path;

use briarrail_settings::{DaemonSettings, GatewaySettings, SettingsErrors};
use getopts::Options;

use super::parse;
use crate::arguments::CommandSpec;
use crate::table_file::FileError;
use crate::{CommandOutput, CtlError, ExitStatus, FileErrors, RunContext, TableFile};

const TABLES: CommandSpec = CommandSpec {
    words: "check tables",
    operands: "FILE...",
    summary: "Checks files with routes and pools, and reports every mistake with its line.",
    options: no_options,
};

const SETTINGS: CommandSpec = CommandSpec {
    words: "check settings",
    operands: "FILE...",
    summary: "Checks settings of the daemon, and reports every mistake with its line.",
    options: no_options,
};

const GATEWAY: CommandSpec = CommandSpec {
    words: "check gateway",
    operands: "FILE...",
    summary: "Checks settings of the gateway, and reports every mistake with its line.",
    options: no_options,
};

fn no_options(_: &mut Options) {}

/// Checks tables.
pub(crate) fn run_tables(
    arguments: &[String],
    context: &RunContext,
) -> Result<CommandOutput, CtlError> {
    run(&TABLES, arguments, context, check_tables)
}

/// Checks settings.
pub(crate) fn run_settings(
    arguments: &[String],
    context: &RunContext,
) -> Result<CommandOutput, CtlError> {
    run(&SETTINGS, arguments, context, check_settings)
}

/// Checks settings of the gateway.
pub(crate) fn run_gateway(
    arguments: &[String],
    context: &RunContext,
) -> Result<CommandOutput, CtlError> {
    run(&GATEWAY, arguments, context, check_gateway)
}

fn run(
    spec: &CommandSpec,
    arguments: &[String],
    context: &RunContext,
    check: fn(&str) -> Result<(), FileErrors>,
) -> Result<CommandOutput, CtlError> {
    let arguments = match parse(spec, arguments, context)? {
        Ok(arguments) => arguments,
        Err(help) => return Ok(help),
    };
    let files = arguments.some_operands()?;
    let bad: Vec<_> = files.iter().filter_map(|file| check(file).err()).collect();
    if arguments.is_json() {
        return Ok(CommandOutput::json(&bad).with_exit(exit_for(&bad)));
    }
    if bad.is_empty() {
        return Ok(CommandOutput::text(format!("{}: good", files.join(", "))));
    }
    let lines: Vec<_> = bad.iter().map(ToString::to_string).collect();
    Ok(CommandOutput::text(lines.join("\n")).with_exit(exit_for(&bad)))
}

fn exit_for(bad: &[FileErrors]) -> ExitStatus {
    if bad.is_empty() {
        ExitStatus::Done
    } else {
        ExitStatus::Invalid
    }
}

fn check_tables(file: &str) -> Result<(), FileErrors> {
    TableFile::read_checked(Path::new(file)).map(drop)
}

fn check_settings(file: &str) -> Result<(), FileErrors> {
    let checked = DaemonSettings::from_file(Path::new(file));
    checked
        .map(drop)
        .map_err(|errors| file_errors(file, &errors))
}

fn check_gateway(file: &str) -> Result<(), FileErrors> {
    let checked = GatewaySettings::from_file(Path::new(file));
    checked
        .map(drop)
        .map_err(|errors| file_errors(file, &errors))
}

fn file_errors(file: &str, errors: &SettingsErrors) -> FileErrors {
    FileErrors {
        file: file.to_owned(),
        errors: errors.0.iter().map(settings_error).collect(),
    }
}

fn settings_error(error: &briarrail_settings::SettingsError) -> FileError {
    let text = error.to_string();
    let prefix = format!("line {}: ", error.line);
    FileError {
        line: error.line,
        message: text.strip_prefix(&prefix).unwrap_or(&text).to_owned(),
    }
}
