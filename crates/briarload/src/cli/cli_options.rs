//! Command-line options.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use getopts::{Matches, Options};

use crate::cli::cli_error::CliError;

/// Declared options of one command.
pub(crate) struct CliOptions {
    command: &'static str,
    options: Options,
}

/// Parsed options.
pub(crate) struct CliMatches {
    matches: Matches,
}

impl CliOptions {
    pub(crate) fn new(command: &'static str) -> Self {
        let mut options = Options::new();
        options.optflag("h", "help", "print help");
        Self { command, options }
    }

    /// Adds an option with a value.
    #[must_use]
    pub(crate) fn option(mut self, name: &str, placeholder: &str, help: &str) -> Self {
        self.options.optopt("", name, help, placeholder);
        self
    }

    /// Adds an option that may be repeated.
    #[must_use]
    pub(crate) fn repeated_option(mut self, name: &str, placeholder: &str, help: &str) -> Self {
        self.options.optmulti("", name, help, placeholder);
        self
    }

    /// Parses the arguments. Prints the help and returns `None` if they request it.
    pub(crate) fn parse(self, arguments: &[String]) -> Result<Option<CliMatches>, CliError> {
        let matches = self.options.parse(arguments)?;
        if matches.opt_present("help") {
            let usage_line = format!("Usage: briarload {} [OPTIONS]", self.command);
            println!("{}", self.options.usage(&usage_line));
            return Ok(None);
        }
        Ok(Some(CliMatches { matches }))
    }
}

impl CliMatches {
    /// Returns the value of an option, or a default.
    pub(crate) fn value<T>(&self, name: &'static str, default: T) -> Result<T, CliError>
    where
        T: FromStr,
        T::Err: Display,
    {
        Ok(self.optional(name)?.unwrap_or(default))
    }

    /// Returns the value of an option, or `None` if it is missing or not declared.
    pub(crate) fn optional<T>(&self, name: &'static str) -> Result<Option<T>, CliError>
    where
        T: FromStr,
        T::Err: Display,
    {
        if !self.matches.opt_defined(name) {
            return Ok(None);
        }
        let text = self.matches.opt_str(name);
        text.map(|text| parse_value(name, &text)).transpose()
    }

    /// Returns the value of a required option.
    pub(crate) fn required(&self, name: &'static str) -> Result<String, CliError> {
        self.matches
            .opt_str(name)
            .ok_or(CliError::MissingOption(name))
    }

    /// Returns the values of a required option that may be repeated.
    pub(crate) fn required_list(&self, name: &'static str) -> Result<Vec<String>, CliError> {
        let values = self.matches.opt_strs(name);
        if values.is_empty() {
            return Err(CliError::MissingOption(name));
        }
        Ok(values)
    }

    /// Returns the comma-separated numbers of an option, or a default.
    pub(crate) fn numbers(
        &self,
        name: &'static str,
        default: &[usize],
    ) -> Result<Vec<usize>, CliError> {
        let Some(text) = self.matches.opt_str(name) else {
            return Ok(default.to_vec());
        };
        text.split(',')
            .map(|number| parse_value(name, number))
            .collect()
    }

    /// Returns a duration given in seconds, or a default.
    pub(crate) fn seconds(
        &self,
        name: &'static str,
        default: Duration,
    ) -> Result<Duration, CliError> {
        let seconds = self.value(name, default.as_secs_f64())?;
        let parsed = Duration::try_from_secs_f64(seconds);
        parsed.map_err(|error| invalid_value(name, &seconds.to_string(), &error))
    }
}

fn parse_value<T>(name: &'static str, text: &str) -> Result<T, CliError>
where
    T: FromStr,
    T::Err: Display,
{
    text.parse()
        .map_err(|error| invalid_value(name, text, &error))
}

fn invalid_value<E>(option: &'static str, value: &str, error: &E) -> CliError
where
    E: Display,
{
    CliError::InvalidValue {
        option,
        value: value.to_owned(),
        reason: error.to_string(),
    }
}
