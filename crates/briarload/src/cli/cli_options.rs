//! Options of the commands.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use getopts::{Matches, Options};

use crate::cli::cli_error::CliError;

/// Options of one command.
pub(crate) struct CliOptions {
    command: &'static str,
    options: Options,
}

/// Options as they were given.
pub(crate) struct CliMatches {
    matches: Matches,
}

impl CliOptions {
    pub(crate) fn new(command: &'static str) -> Self {
        let mut options = Options::new();
        options.optflag("h", "help", "print this text");
        Self { command, options }
    }

    /// Adds an option with a value.
    #[must_use]
    pub(crate) fn option(mut self, name: &str, hint: &str, help: &str) -> Self {
        self.options.optopt("", name, help, hint);
        self
    }

    /// Adds an option that may be repeated.
    #[must_use]
    pub(crate) fn list(mut self, name: &str, hint: &str, help: &str) -> Self {
        self.options.optmulti("", name, help, hint);
        self
    }

    /// Parses the arguments; none when they asked for help, which is then printed.
    pub(crate) fn parse(self, arguments: &[String]) -> Result<Option<CliMatches>, CliError> {
        let matches = self.options.parse(arguments)?;
        if matches.opt_present("help") {
            let brief = format!("Usage: briarload {} [OPTIONS]", self.command);
            println!("{}", self.options.usage(&brief));
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

    /// Returns the value of an option, if it is present.
    pub(crate) fn optional<T>(&self, name: &'static str) -> Result<Option<T>, CliError>
    where
        T: FromStr,
        T::Err: Display,
    {
        if !self.matches.opt_defined(name) {
            return Ok(None);
        }
        let text = self.matches.opt_str(name);
        text.map(|text| parse(name, &text)).transpose()
    }

    /// Returns the value of an option that has to be present.
    pub(crate) fn required(&self, name: &'static str) -> Result<String, CliError> {
        self.matches.opt_str(name).ok_or(CliError::Missing(name))
    }

    /// Returns the values of a repeated option that has to be present.
    pub(crate) fn required_list(&self, name: &'static str) -> Result<Vec<String>, CliError> {
        let values = self.matches.opt_strs(name);
        if values.is_empty() {
            return Err(CliError::Missing(name));
        }
        Ok(values)
    }

    /// Returns the numbers of an option, separated by commas, or a default.
    pub(crate) fn numbers(
        &self,
        name: &'static str,
        default: &[usize],
    ) -> Result<Vec<usize>, CliError> {
        let Some(text) = self.matches.opt_str(name) else {
            return Ok(default.to_vec());
        };
        text.split(',').map(|part| parse(name, part)).collect()
    }

    /// Returns the value of an option in seconds, or a default.
    pub(crate) fn seconds(
        &self,
        name: &'static str,
        default: Duration,
    ) -> Result<Duration, CliError> {
        let seconds = self.value(name, default.as_secs_f64())?;
        let parsed = Duration::try_from_secs_f64(seconds);
        parsed.map_err(|error| invalid(name, &seconds.to_string(), &error))
    }
}

fn parse<T>(name: &'static str, text: &str) -> Result<T, CliError>
where
    T: FromStr,
    T::Err: Display,
{
    text.parse().map_err(|error| invalid(name, text, &error))
}

fn invalid<E>(option: &'static str, value: &str, error: &E) -> CliError
where
    E: Display,
{
    CliError::Value {
        option,
        value: value.to_owned(),
        hint: error.to_string(),
    }
}
