//! Command-line parsing that all commands share.

use std::sync::Arc;
use std::time::Duration;

use briarrail_platform::HttpStore;
use getopts::{Matches, Options};

use crate::{CtlError, CtlErrorKind, RunContext};

/// Timeout of one call to the object API.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// The command-line definition of one command.
pub(crate) struct CommandSpec {
    /// Words that select the command, such as `check tables`.
    pub(crate) command: &'static str,
    /// Placeholders of the operands; empty when the command takes none.
    pub(crate) operands: &'static str,
    pub(crate) summary: &'static str,
    pub(crate) add_options: fn(&mut Options),
}

/// The parsed arguments of one command.
pub(crate) struct CommandArguments<'a> {
    pub(crate) context: &'a RunContext,
    spec: &'a CommandSpec,
    matches: Matches,
}

impl CommandSpec {
    /// Parses the arguments that follow the command; returns `None` when they ask for help.
    pub(crate) fn parse<'a>(
        &'a self,
        arguments: &[String],
        context: &'a RunContext,
    ) -> Result<Option<CommandArguments<'a>>, CtlError> {
        let matches = self.all_options().parse(arguments);
        let matches = matches.map_err(|error| CtlError::usage(error.to_string(), self.command))?;
        if matches.opt_present("help") {
            return Ok(None);
        }
        Ok(Some(CommandArguments {
            context,
            spec: self,
            matches,
        }))
    }

    pub(crate) fn help(&self) -> String {
        let header = format!(
            "Usage: briarctl {} {} [options]\n\n{}",
            self.command, self.operands, self.summary
        );
        self.all_options().usage(&header.replace("  ", " "))
    }

    fn all_options(&self) -> Options {
        let mut options = Options::new();
        options.optflag("h", "help", "print this help");
        options.optflag("", "json", "print output and errors as JSON");
        (self.add_options)(&mut options);
        options
    }
}

/// Adds the option that selects the object API.
pub(crate) fn add_store_option(options: &mut Options) {
    options.optopt(
        "",
        "store",
        "base URL of the object API (default: $BRIARCTL_STORE)",
        "URL",
    );
}

/// Adds the options that select routers and limit the time of a query.
pub(crate) fn add_router_options(options: &mut Options) {
    options.optmulti(
        "",
        "router",
        "address of a router's operator listener; repeatable",
        "IP:PORT",
    );
    options.optopt(
        "",
        "hosts",
        "base URL of the host list (default: $BRIARCTL_HOSTS)",
        "URL",
    );
    options.optopt(
        "",
        "service",
        "service name of the routers in the host list (default: briarraild)",
        "NAME",
    );
    options.optopt(
        "",
        "timeout-ms",
        "timeout per router in milliseconds (default: 2000)",
        "N",
    );
}

impl CommandArguments<'_> {
    pub(crate) fn is_json(&self) -> bool {
        self.has_flag("json")
    }

    pub(crate) fn has_flag(&self, name: &str) -> bool {
        self.matches.opt_present(name)
    }

    pub(crate) fn option_value(&self, name: &str) -> Option<String> {
        self.matches.opt_str(name)
    }

    pub(crate) fn option_values(&self, name: &str) -> Vec<String> {
        self.matches.opt_strs(name)
    }

    pub(crate) fn option_number(&self, name: &str) -> Result<Option<u64>, CtlError> {
        let text = self.option_value(name);
        let parse = |text: String| {
            let usage_error = || {
                self.usage_error(format!(
                    "invalid value {text:?} for --{name}: expected a non-negative integer"
                ))
            };
            text.parse().map_err(|_| usage_error())
        };
        text.map(parse).transpose()
    }

    /// Returns the operands.
    ///
    /// # Errors
    ///
    /// Fails when there are not exactly `N`.
    pub(crate) fn operands<const N: usize>(&self) -> Result<[&str; N], CtlError> {
        let operands: Vec<_> = self.matches.free.iter().map(String::as_str).collect();
        let found = operands.len();
        operands.try_into().map_err(|_| {
            let expected = match self.spec.operands {
                "" => "no operands".to_owned(),
                operands => operands.to_owned(),
            };
            self.usage_error(format!(
                "{}: expected {expected}, found {found} operands",
                self.spec.command
            ))
        })
    }

    /// Returns the operands.
    ///
    /// # Errors
    ///
    /// Fails when there are none.
    pub(crate) fn required_operands(&self) -> Result<&[String], CtlError> {
        if self.matches.free.is_empty() {
            let context = format!(
                "{}: missing operand {}",
                self.spec.command, self.spec.operands
            );
            return Err(self.usage_error(context));
        }
        Ok(&self.matches.free)
    }

    pub(crate) fn usage_error<C>(&self, context: C) -> CtlError
    where
        C: Into<String>,
    {
        CtlError::usage(context, self.spec.command)
    }

    /// Returns a client of the object API.
    pub(crate) fn store_client(&self) -> Result<Arc<HttpStore>, CtlError> {
        let url = self
            .option_value("store")
            .or_else(|| self.context.store_url.clone());
        let url = url.ok_or_else(|| self.usage_error("no object API given; use --store URL"))?;
        Ok(Arc::new(HttpStore::new(
            http_client()?,
            &url,
            STORE_TIMEOUT,
        )))
    }
}

/// Creates an HTTP client.
pub(crate) fn http_client() -> Result<reqwest::Client, CtlError> {
    reqwest::Client::builder().build().map_err(|error| {
        let context = format!("cannot create an HTTP client: {error}");
        CtlError::new(
            CtlErrorKind::Unreachable,
            context,
            "check the configuration of this host",
        )
    })
}
