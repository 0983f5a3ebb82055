//! Shows what routers logged about one request.

use std::collections::BTreeSet;

use getopts::Options;
use serde_json::Value;

use super::parse;
use crate::arguments::CommandSpec;
use crate::{CommandOutput, CtlError, CtlErrorKind, RunContext};

const TRACE: CommandSpec = CommandSpec {
    words: "trace",
    operands: "FILE...",
    summary: "Shows the log lines of one request from the logs of several routers, in the order of \
              time, with what was logged about its targets around then.",
    options: trace_options,
};

/// Time around a request in which lines on its targets are shown, in milliseconds.
const DEFAULT_AROUND_MS: u64 = 2_000;
const MILLIS_PER_DAY: i64 = 86_400_000;

fn trace_options(options: &mut Options) {
    options.optopt("", "id", "identifier of the request", "ID");
    options.optopt(
        "",
        "around-ms",
        "time around the request for lines on its targets (2000)",
        "N",
    );
}

/// One line of a log.
#[derive(Debug)]
struct LogLine<'t> {
    file: &'t str,
    text: &'t str,
    fields: Value,
    /// Milliseconds of its day and those before, for comparison only.
    millis: i64,
}

impl<'t> LogLine<'t> {
    /// Reads a line; anything before the first brace, such as a collector's prefix, is passed over.
    fn parse(file: &'t str, line: &'t str) -> Option<Self> {
        let text = &line[line.find('{')?..];
        let fields: Value = serde_json::from_str(text).ok()?;
        let millis = unix_like_millis(fields["timestamp"].as_str()?)?;
        Some(Self {
            file,
            text,
            fields,
            millis,
        })
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.fields[name].as_str()
    }
}

/// Runs the command.
pub(crate) fn run(arguments: &[String], context: &RunContext) -> Result<CommandOutput, CtlError> {
    let arguments = match parse(&TRACE, arguments, context)? {
        Ok(arguments) => arguments,
        Err(help) => return Ok(help),
    };
    let id = arguments
        .text("id")
        .ok_or_else(|| arguments.usage("name the request by --id ID"))?;
    let around = arguments.number("around-ms")?.unwrap_or(DEFAULT_AROUND_MS);
    let files = arguments.some_operands()?;
    let mut texts = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file).map_err(|error| {
            let hint = "name files with the lines that routers write to standard output";
            CtlError::new(CtlErrorKind::NotFound, format!("{file}: {error}"), hint)
        })?;
        texts.push((file.as_str(), text));
    }
    let lines = texts.iter().flat_map(|(file, text)| {
        let lines = text.lines();
        lines.filter_map(|line| LogLine::parse(file, line))
    });
    let mut lines: Vec<LogLine<'_>> = lines.collect();
    lines.sort_by_key(|line| line.millis);
    let shown = select(&lines, &id, around as i64);
    if shown.is_empty() {
        let hint = "check the identifier; lines beyond the rate limit are dropped and counted";
        let context = format!("no line names the request {id:?}");
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

/// Returns the lines of a request, and those on its targets around it.
fn select<'l, 't>(lines: &'l [LogLine<'t>], id: &str, around: i64) -> Vec<&'l LogLine<'t>> {
    let is_own = |line: &&LogLine<'_>| line.field("request_id") == Some(id);
    let own: Vec<&LogLine<'_>> = lines.iter().filter(is_own).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let took = last.fields["elapsed_ms"].as_i64().unwrap_or(0);
    let span = first.millis.min(last.millis - took) - around..=last.millis + around;
    let targets: BTreeSet<&str> = own
        .iter()
        .filter_map(|line| line.field("target_id"))
        .collect();
    let is_near = |line: &LogLine<'_>| {
        let names_target = line
            .field("target_id")
            .is_some_and(|id| targets.contains(id));
        names_target && line.field("request_id").is_none() && span.contains(&line.millis)
    };
    let shown = lines.iter();
    shown.filter(|line| is_own(line) || is_near(line)).collect()
}

/// Reads `2026-12-04T06:00:00.123456Z` as milliseconds that compare like the times.
fn unix_like_millis(text: &str) -> Option<i64> {
    let (date, time) = text.split_once('T')?;
    let mut date = date.split('-').map(|part| part.parse::<i64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let mut time = time.trim_end_matches('Z').split(':');
    let hours: i64 = time.next()?.parse().ok()?;
    let minutes: i64 = time.next()?.parse().ok()?;
    let seconds: f64 = time.next()?.parse().ok()?;
    let days = (year * 12 + month) * 31 + day;
    let millis = (hours * 60 + minutes) * 60_000 + (seconds * 1_000.0) as i64;
    Some(days * MILLIS_PER_DAY + millis)
}
