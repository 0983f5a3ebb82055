//! All settings of the gateway.

use std::net::SocketAddr;
use std::path::Path;

use briarrail_model::{DataCentre, HostName, MilliDuration};
use jsonc_parser::ast::Value;

use crate::daemon_settings::{read_file, read_text};
use crate::error_collector::ErrorCollector;
use crate::section_reader::SectionReader;
use crate::{LogSettings, SecretText, SettingsErrors};

/// What the operators promise for the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetLimits {
    /// Time in which a stop must end.
    pub stop_grace: MilliDuration,
    /// Repeats for each request of a window.
    pub retry_ratio: f64,
    /// Length of the sliding window of repeats.
    pub retry_window: MilliDuration,
    /// Repeats in a window beyond the ratio.
    pub retry_slack: f64,
    /// Load over the mean of its service that no target may exceed, as a multiple.
    pub load_ratio: f64,
}

/// The checked settings of one gateway.
///
/// ```
/// use briarrail_settings::GatewaySettings;
///
/// let text = r#"{
///     "host": { "name": "entry-1", "data_centre": "gongoni" },
///     "callers": { "listen": "127.0.0.1:7000" },
///     "readiness": { "listen": "127.0.0.1:7001" },
///     "peers": { "listen": "127.0.0.1:7002" },
///     "metrics": { "listen": "127.0.0.1:7003" },
///     "store": { "address": "127.0.0.1:7100" },
///     "exchange_key": "change-me-change-me",
/// }"#;
/// let settings = GatewaySettings::from_text(text).unwrap();
/// assert_eq!(settings.fleet.retry_ratio, 0.2);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Name of the router.
    pub name: HostName,
    /// Data centre of the router.
    pub data_centre: DataCentre,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks for readiness.
    pub readiness: SocketAddr,
    /// Where other routers connect.
    pub peers: SocketAddr,
    /// Where metrics are scraped.
    pub metrics: SocketAddr,
    /// Address of the platform's object store.
    pub store: SocketAddr,
    /// Key that authenticates messages between routers.
    pub exchange_key: SecretText,
    /// Bandwidth of the host's link, in Mbit/s.
    pub link_mbps: f64,
    /// Part of a core that the process gets, times the speed of the core.
    pub core_share: f64,
    /// File descriptors that the process may open.
    pub max_descriptors: u64,
    /// What the operators promise for the whole fleet.
    pub fleet: FleetLimits,
    /// Logs.
    pub logs: LogSettings,
}

impl GatewaySettings {
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
        let host = root.section("host");
        let name = host.required("name");
        let data_centre = host.required("data_centre");
        host.finish();
        let listen = |key| {
            let section = root.section(key);
            let address = section.required("listen");
            section.finish();
            address
        };
        let callers = listen("callers");
        let readiness = listen("readiness");
        let peers = listen("peers");
        let metrics = listen("metrics");
        let store = root.section("store");
        let store_address = store.required("address");
        store.finish();
        let exchange_key = root.required("exchange_key");
        let max_descriptors = root.integer("max_descriptors", 1_024, 64..=10_000_000);
        let link_mbps = root.value_or("link_mbps", 1_000.0);
        let core_share = root.value_or("core_share", 1.0);
        let fleet = read_fleet_limits(root.section("fleet"));
        let logs = LogSettings::read(root.section("logs"));
        root.finish();
        Some(Self {
            name: name?,
            data_centre: data_centre?,
            callers: callers?,
            readiness: readiness?,
            peers: peers?,
            metrics: metrics?,
            store: store_address?,
            exchange_key: exchange_key?,
            link_mbps,
            core_share,
            max_descriptors,
            fleet,
            logs,
        })
    }
}

fn read_fleet_limits(section: SectionReader<'_>) -> FleetLimits {
    let seconds = |key, default: f64| {
        let value: f64 = section.value_or(key, default);
        MilliDuration::from_millis((value * 1_000.0) as u64)
    };
    let terms = FleetLimits {
        stop_grace: seconds("stop_grace_s", 8.0),
        retry_ratio: section.value_or("retry_ratio", 0.2),
        retry_window: seconds("retry_window_s", 10.0),
        retry_slack: section.value_or("retry_slack", 20.0),
        load_ratio: section.value_or("load_ratio", 2.0),
    };
    section.finish();
    terms
}
