//! Settings of the daemon.

use std::path::Path;

use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Range;

use crate::error_collector::ErrorCollector;
use crate::section_reader::SectionReader;
use crate::{
    ClaimSettings, ExchangeSettings, HostSettings, IdentitySettings, LimitSettings,
    ListenerSettings, LogSettings, PlatformSettings, SettingsBuilder, SettingsError,
    SettingsErrorKind, SettingsErrors, StopSettings, ThreadSettings,
};

/// The validated settings of one router.
///
/// ```
/// use briarrail_settings::DaemonSettings;
///
/// let text = r#"{
///     "host": { "name": "entry-1", "data_centre": "gongoni", "region": "coast" },
///     "callers": { "listen": "127.0.0.1:7000" },
///     "operators": { "listen": "127.0.0.1:7001" },
///     "peers": { "listen": "127.0.0.1:7002" },
///     "platform": {
///         "object_api_url": "http://127.0.0.1:7100",
///         "host_list_url": "http://127.0.0.1:7200",
///     },
///     "exchange": { "keys": [{ "id": "k1", "secret": "change-me-change-me" }] },
/// }"#;
/// let settings = DaemonSettings::from_text(text).unwrap();
/// assert_eq!(settings.exchange.budget_bytes_per_s, 5_000);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonSettings {
    /// Name and location of the router.
    pub host: HostSettings,
    /// Listening address for callers.
    pub callers: ListenerSettings,
    /// Listening address for operators and metrics scrapers.
    pub operators: ListenerSettings,
    /// Listening address for other routers.
    pub peers: ListenerSettings,
    /// Addresses and timeouts of the platform.
    pub platform: PlatformSettings,
    /// Request headers that identify the caller.
    pub identity: IdentitySettings,
    /// Message exchange between routers.
    pub exchange: ExchangeSettings,
    /// Limits that protect the router.
    pub limits: LimitSettings,
    /// Claims on idempotency keys.
    pub claims: ClaimSettings,
    /// Graceful shutdown.
    pub stop: StopSettings,
    /// Logging.
    pub logs: LogSettings,
    /// Number of threads.
    pub threads: ThreadSettings,
}

impl DaemonSettings {
    /// Returns a builder with loopback addresses and default values, for tests and examples.
    pub fn builder() -> SettingsBuilder {
        SettingsBuilder::default()
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Returns every error in the text, or only the syntax error if the text can't be parsed.
    pub fn from_text(text: &str) -> Result<Self, SettingsErrors> {
        read_text(text, Self::read)
    }

    /// Reads, parses and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails like [`from_text`](Self::from_text), or if the file can't be read.
    pub fn from_file(path: &Path) -> Result<Self, SettingsErrors> {
        Self::from_text(&read_file(path)?)
    }

    fn read(errors: &ErrorCollector<'_>, root: &Value<'_>) -> Option<Self> {
        let root = SectionReader::root(errors, root)?;
        let host = HostSettings::read(root.section("host"));
        let callers = ListenerSettings::read(root.section("callers"));
        let operators = ListenerSettings::read(root.section("operators"));
        let peers = ListenerSettings::read(root.section("peers"));
        let platform = PlatformSettings::read(root.section("platform"));
        let identity = IdentitySettings::read(root.section("identity"));
        let exchange = ExchangeSettings::read(root.section("exchange"));
        let limits = LimitSettings::read(root.section("limits"));
        let claims = ClaimSettings::read(root.section("claims"));
        let stop = StopSettings::read(root.section("stop"));
        let logs = LogSettings::read(root.section("logs"));
        let threads = ThreadSettings::read(root.section("threads"));
        check_distinct_listeners(&root, [callers, operators, peers]);
        root.finish();
        Some(Self {
            host: host?,
            callers: callers?,
            operators: operators?,
            peers: peers?,
            platform: platform?,
            identity,
            exchange,
            limits,
            claims,
            stop,
            logs,
            threads,
        })
    }
}

/// Reads a settings file into a string.
pub(crate) fn read_file(path: &Path) -> Result<String, SettingsErrors> {
    std::fs::read_to_string(path).map_err(|error| {
        SettingsErrors(vec![SettingsError {
            kind: SettingsErrorKind::Unreadable,
            line: 0,
            key: "file".to_owned(),
            value: path.display().to_string(),
            hint: error.to_string(),
        }])
    })
}

/// Parses settings, converts them with `read` and collects every error.
pub(crate) fn read_text<T, R>(text: &str, read: R) -> Result<T, SettingsErrors>
where
    R: FnOnce(&ErrorCollector<'_>, &Value<'_>) -> Option<T>,
{
    let errors = ErrorCollector::new(text);
    let settings = parse_root(text, &errors).and_then(|root| read(&errors, &root));
    match (errors.into_errors(), settings) {
        (None, Some(settings)) => Ok(settings),
        (errors, _) => Err(errors.unwrap_or(SettingsErrors(Vec::new()))),
    }
}

fn parse_root<'t>(text: &'t str, errors: &ErrorCollector<'t>) -> Option<Value<'t>> {
    match jsonc_parser::parse_to_ast(text, &Default::default(), &parse_options()) {
        Ok(result) => {
            let end = Range::new(text.len(), text.len());
            let kind = SettingsErrorKind::Syntax;
            if result.value.is_none() {
                errors.push(
                    kind,
                    end,
                    "file",
                    "",
                    "expected an object, but the file is empty",
                );
            }
            result.value
        }
        Err(error) => {
            let excerpt = errors.token_excerpt(error.range());
            let hint = error.kind().to_string();
            errors.push(
                SettingsErrorKind::Syntax,
                error.range(),
                "file",
                excerpt,
                &hint,
            );
            None
        }
    }
}

/// Allows comments and trailing commas, but no other extension of JSON.
fn parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

fn check_distinct_listeners(root: &SectionReader<'_>, addresses: [Option<ListenerSettings>; 3]) {
    let keys = ["callers", "operators", "peers"];
    for (index, address) in addresses.iter().enumerate() {
        let has_fixed_port = address.is_some_and(|address| address.listen.port() != 0);
        if has_fixed_port && addresses[..index].contains(address) {
            let hint = "use a different address or port for each of callers, operators and peers";
            let section = root.section(keys[index]);
            section.add_error(SettingsErrorKind::Conflict, "listen", hint);
        }
    }
}
