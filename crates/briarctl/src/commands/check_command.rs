//! Validates files without network access.

use std::path::Path;

use briarrail_settings::{DaemonSettings, GatewaySettings, SettingsErrors};
use getopts::Options;

use super::parse_or_help;
use crate::arguments::CommandSpec;
use crate::table_file::FileError;
use crate::{CommandOutput, CtlError, ExitStatus, FileErrors, RunContext, TableFile};

const TABLES: CommandSpec = CommandSpec {
    command: "check tables",
    operands: "FILE...",
    summary: "Validates files with routes and pools, and reports every error with its line.",
    add_options: add_no_options,
};

const SETTINGS: CommandSpec = CommandSpec {
    command: "check settings",
    operands: "FILE...",
    summary: "Validates settings of the daemon, and reports every error with its line.",
    add_options: add_no_options,
};

const GATEWAY: CommandSpec = CommandSpec {
    command: "check gateway",
    operands: "FILE...",
    summary: "Validates settings of the gateway, and reports every error with its line.",
    add_options: add_no_options,
};

fn add_no_options(_: &mut Options) {}

/// Validates files with tables.
pub(crate) fn run_tables(
    arguments: &[String],
    context: &RunContext,
) -> Result<CommandOutput, CtlError> {
    run(&TABLES, arguments, context, check_tables)
}

/// Validates files with settings of the daemon.
pub(crate) fn run_settings(
    arguments: &[String],
    context: &RunContext,
) -> Result<CommandOutput, CtlError> {
    run(&SETTINGS, arguments, context, check_settings)
}

/// Validates files with settings of the gateway.
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
    let arguments = match parse_or_help(spec, arguments, context)? {
        Ok(arguments) => arguments,
        Err(help) => return Ok(help),
    };
    let files = arguments.required_operands()?;
    let failures: Vec<_> = files.iter().filter_map(|file| check(file).err()).collect();
    if arguments.is_json() {
        return Ok(CommandOutput::json(&failures).with_exit(exit_status(&failures)));
    }
    if failures.is_empty() {
        return Ok(CommandOutput::text(format!("{}: good", files.join(", "))));
    }
    let lines: Vec<_> = failures.iter().map(ToString::to_string).collect();
    Ok(CommandOutput::text(lines.join("\n")).with_exit(exit_status(&failures)))
}

fn exit_status(failures: &[FileErrors]) -> ExitStatus {
    if failures.is_empty() {
        ExitStatus::Success
    } else {
        ExitStatus::Invalid
    }
}

fn check_tables(file: &str) -> Result<(), FileErrors> {
    TableFile::read_validated(Path::new(file)).map(drop)
}

fn check_settings(file: &str) -> Result<(), FileErrors> {
    let result = DaemonSettings::from_file(Path::new(file));
    result
        .map(drop)
        .map_err(|errors| file_errors(file, &errors))
}

fn check_gateway(file: &str) -> Result<(), FileErrors> {
    let result = GatewaySettings::from_file(Path::new(file));
    result
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
