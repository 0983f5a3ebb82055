//! Command-line options.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use getopts::{Matches, Options};
use serde::de::DeserializeOwned;

use crate::cli::cli_error::CliError;

const DEFAULT_LISTEN_ADDRESS: &str = "127.0.0.1:0";

/// Options of one command, including the options that all commands share.
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
        options.optflag("h", "help", "print this help");
        options.optopt(
            "",
            "listen",
            "address to listen on (default: 127.0.0.1:0)",
            "IP:PORT",
        );
        options.optopt("", "faults", "initial faults", "JSON");
        Self { command, options }
    }

    /// Adds an option with a value.
    #[must_use]
    pub(crate) fn option(mut self, name: &str, placeholder: &str, help: &str) -> Self {
        self.options.optopt("", name, help, placeholder);
        self
    }

    /// Adds an option without a value.
    #[must_use]
    pub(crate) fn flag(mut self, name: &str, help: &str) -> Self {
        self.options.optflag("", name, help);
        self
    }

    /// Parses the arguments; prints the help and returns `None` if `--help` is among them.
    pub(crate) fn parse(self, arguments: &[String]) -> Result<Option<CliMatches>, CliError> {
        let matches = self.options.parse(arguments)?;
        if matches.opt_present("help") {
            let brief = format!("Usage: briarrail_standin {} [OPTIONS]", self.command);
            println!("{}", self.options.usage(&brief));
            return Ok(None);
        }
        Ok(Some(CliMatches { matches }))
    }
}

impl CliMatches {
    /// Returns the address to listen on.
    pub(crate) fn listen_address(&self) -> String {
        let listen = self.matches.opt_str("listen");
        listen.unwrap_or_else(|| DEFAULT_LISTEN_ADDRESS.to_owned())
    }

    /// Returns whether a flag is present.
    pub(crate) fn is_present(&self, name: &str) -> bool {
        self.matches.opt_present(name)
    }

    /// Returns the value of an option, or the default if it is missing.
    pub(crate) fn value<T>(&self, name: &str, default: T) -> Result<T, CliError>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(text) = self.matches.opt_str(name) else {
            return Ok(default);
        };
        let parsed = text.parse();
        parsed.map_err(|error: T::Err| invalid_value(name, &text, &error))
    }

    /// Returns a duration given in milliseconds, or the default if the option is missing.
    pub(crate) fn millis(&self, name: &str, default: Duration) -> Result<Duration, CliError> {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        self.value(name, default).map(Duration::from_millis)
    }

    /// Returns the initial faults.
    pub(crate) fn faults<F>(&self) -> Result<F, CliError>
    where
        F: DeserializeOwned + Default,
    {
        let Some(text) = self.matches.opt_str("faults") else {
            return Ok(F::default());
        };
        let parsed = serde_json::from_str(&text);
        parsed.map_err(|error| invalid_value("faults", &text, &error))
    }
}

fn invalid_value<E>(option: &str, value: &str, error: &E) -> CliError
where
    E: Display,
{
    CliError::InvalidValue {
        option: option.to_owned(),
        value: value.to_owned(),
        reason: error.to_string(),
    }
}
