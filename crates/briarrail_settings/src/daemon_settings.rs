//! All settings of the daemon.

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

/// The checked settings of one router.
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
    /// Name and place of the router.
    pub host: HostSettings,
    /// Where callers connect.
    pub callers: ListenerSettings,
    /// Where operators and scrapers connect.
    pub operators: ListenerSettings,
    /// Where other routers connect.
    pub peers: ListenerSettings,
    /// How the platform is reached.
    pub platform: PlatformSettings,
    /// Headers that say who calls.
    pub identity: IdentitySettings,
    /// The exchange between routers.
    pub exchange: ExchangeSettings,
    /// Limits that protect the router.
    pub limits: LimitSettings,
    /// Claims on idempotency keys.
    pub claims: ClaimSettings,
    /// Planned stops.
    pub stop: StopSettings,
    /// Logs.
    pub logs: LogSettings,
    /// Threads.
    pub threads: ThreadSettings,
}

impl DaemonSettings {
    /// Returns a builder with loopback addresses and defaults, for tests and examples.
    pub fn builder() -> SettingsBuilder {
        SettingsBuilder::default()
    }

    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// Returns every mistake in the text, or the first one when the text can't be parsed.
    pub fn from_text(text: &str) -> Result<Self, SettingsErrors> {
        read_text(text, Self::read)
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails as [`from_text`](Self::from_text) does, and when the file can't be read.
    pub fn from_file(path: &Path) -> Result<Self, SettingsErrors> {
        Self::from_text(&read_file(path)?)
    }

    fn read(log: &ErrorCollector<'_>, root: &Value<'_>) -> Option<Self> {
        let root = SectionReader::root(log, root)?;
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

/// Reads a settings file as text.
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

/// Parses settings and reads them with `read`, collecting every mistake.
pub(crate) fn read_text<T, R>(text: &str, read: R) -> Result<T, SettingsErrors>
where
    R: FnOnce(&ErrorCollector<'_>, &Value<'_>) -> Option<T>,
{
    let log = ErrorCollector::new(text);
    let settings = parse_root(text, &log).and_then(|root| read(&log, &root));
    match (log.into_errors(), settings) {
        (None, Some(settings)) => Ok(settings),
        (errors, _) => Err(errors.unwrap_or(SettingsErrors(Vec::new()))),
    }
}

fn parse_root<'t>(text: &'t str, log: &ErrorCollector<'t>) -> Option<Value<'t>> {
    match jsonc_parser::parse_to_ast(text, &Default::default(), &parse_options()) {
        Ok(result) => {
            let end = Range::new(text.len(), text.len());
            let kind = SettingsErrorKind::Syntax;
            if result.value.is_none() {
                log.add(kind, end, "file", "", "the text is empty; write an object");
            }
            result.value
        }
        Err(error) => {
            let excerpt = log.token_excerpt(error.range());
            let hint = error.kind().to_string();
            log.add(
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

/// Allows comments and trailing commas, and nothing else beyond JSON.
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
        let taken = address.is_some_and(|address| address.listen.port() != 0);
        if taken && addresses[..index].contains(address) {
            let hint = "give callers, operators and peers their own address or port";
            let section = root.section(keys[index]);
            section.add_error(SettingsErrorKind::Conflict, "listen", hint);
        }
    }
}
