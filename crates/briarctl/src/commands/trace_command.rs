//! Shows what routers logged about one request.

use std::collections::BTreeSet;

use getopts::Options;
use serde_json::Value;

use super::parse_or_help;
use crate::arguments::CommandSpec;
use crate::{CommandOutput, CtlError, CtlErrorKind, RunContext};

const TRACE: CommandSpec = CommandSpec {
    command: "trace",
    operands: "FILE...",
    summary: "Shows the log lines of one request from the logs of several routers, sorted by time, \
              together with the lines about its targets around that time.",
    add_options: add_trace_options,
};

/// Time before and after a request for which lines about its targets are shown, in milliseconds.
const DEFAULT_AROUND_MS: u64 = 2_000;
const MILLIS_PER_DAY: i64 = 86_400_000;

fn add_trace_options(options: &mut Options) {
    options.optopt("", "id", "identifier of the request", "ID");
    options.optopt(
        "",
        "around-ms",
        "time before and after the request, in milliseconds, for lines about its targets (default: \
         2000)",
        "N",
    );
}

/// One JSON line of a log.
#[derive(Debug)]
struct LogLine<'t> {
    file: &'t str,
    text: &'t str,
    fields: Value,
    /// Timestamp as a sort key from [`sortable_millis`].
    sort_key_ms: i64,
}

impl<'t> LogLine<'t> {
    /// Parses a line; text before the first brace, such as the prefix of a log collector, is
    /// ignored.
    fn parse(file: &'t str, line: &'t str) -> Option<Self> {
        let text = &line[line.find('{')?..];
        let fields: Value = serde_json::from_str(text).ok()?;
        let sort_key_ms = sortable_millis(fields["timestamp"].as_str()?)?;
        Some(Self {
            file,
            text,
            fields,
            sort_key_ms,
        })
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.fields[name].as_str()
    }
}

/// Shows what routers logged about one request.
pub(crate) fn run(arguments: &[String], context: &RunContext) -> Result<CommandOutput, CtlError> {
    let arguments = match parse_or_help(&TRACE, arguments, context)? {
        Ok(arguments) => arguments,
        Err(help) => return Ok(help),
    };
    let id = arguments
        .option_value("id")
        .ok_or_else(|| arguments.usage_error("no request given; use --id ID"))?;
    let around_ms = arguments
        .option_number("around-ms")?
        .unwrap_or(DEFAULT_AROUND_MS);
    let files = arguments.required_operands()?;
    let mut logs = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file).map_err(|error| {
            let hint = "specify files with the standard output of routers";
            CtlError::new(
                CtlErrorKind::NotFound,
                format!("cannot read {file}: {error}"),
                hint,
            )
        })?;
        logs.push((file.as_str(), text));
    }
    let lines = logs.iter().flat_map(|(file, text)| {
        let lines = text.lines();
        lines.filter_map(|line| LogLine::parse(file, line))
    });
    let mut lines: Vec<LogLine<'_>> = lines.collect();
    lines.sort_by_key(|line| line.sort_key_ms);
    let shown = select_lines(&lines, &id, around_ms as i64);
    if shown.is_empty() {
        let hint = "check the identifier; routers drop and count log lines above the rate limit";
        let context = format!("no log line for the request {id:?}");
        return Err(CtlError::new(CtlErrorKind::NotFound, context, hint));
    }
    if arguments.is_json() {
        let fields: Vec<&Value> = shown.iter().map(|line| &line.fields).collect();
        return Ok(CommandOutput::json(&fields));
    }
    let shown = shown
        .iter()
        .map(|line| format!("{}: {}", line.file, line.text));
    Ok(CommandOutput::text(shown.collect::<Vec<_>>().join("\n")))
}

/// Returns the lines of a request, and the lines about its targets from `around_ms` before to
/// `around_ms` after it.
fn select_lines<'l, 't>(
    lines: &'l [LogLine<'t>],
    id: &str,
    around_ms: i64,
) -> Vec<&'l LogLine<'t>> {
    let is_request_line = |line: &&LogLine<'_>| line.field("request_id") == Some(id);
    let request_lines: Vec<&LogLine<'_>> = lines.iter().filter(is_request_line).collect();
    let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
        return Vec::new();
    };
    let elapsed_ms = last.fields["elapsed_ms"].as_i64().unwrap_or(0);
    let window = first.sort_key_ms.min(last.sort_key_ms - elapsed_ms) - around_ms
        ..=last.sort_key_ms + around_ms;
    let targets: BTreeSet<&str> = request_lines
        .iter()
        .filter_map(|line| line.field("target_id"))
        .collect();
    let is_target_line = |line: &LogLine<'_>| {
        let names_target = line
            .field("target_id")
            .is_some_and(|id| targets.contains(id));
        names_target && line.field("request_id").is_none() && window.contains(&line.sort_key_ms)
    };
    let shown = lines.iter();
    shown
        .filter(|line| is_request_line(line) || is_target_line(line))
        .collect()
}

/// Parses a timestamp such as `2026-12-04T06:00:00.123456Z` into milliseconds that sort by time.
///
/// Every month counts as 31 days, so that differences across the end of a shorter month are too
/// large.
fn sortable_millis(text: &str) -> Option<i64> {
    let (date, time) = text.split_once('T')?;
    let mut date = date.split('-').map(|part| part.parse::<i64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let mut time = time.trim_end_matches('Z').split(':');
    let hours: i64 = time.next()?.parse().ok()?;
    let minutes: i64 = time.next()?.parse().ok()?;
    let seconds: f64 = time.next()?.parse().ok()?;
    let days = (year * 12 + month) * 31 + day;
    let time_of_day_ms = (hours * 60 + minutes) * 60_000 + (seconds * 1_000.0) as i64;
    Some(days * MILLIS_PER_DAY + time_of_day_ms)
}
