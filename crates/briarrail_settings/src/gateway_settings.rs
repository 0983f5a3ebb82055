//! Settings of the gateway.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

use briarrail_model::{DataCentre, HostName, MilliDuration, RegionName};
use jsonc_parser::ast::Value;

use crate::daemon_settings::{read_file, read_text};
use crate::error_collector::ErrorCollector;
use crate::section_reader::SectionReader;
use crate::{ColdTolerance, LogSettings, SecretText, SettingsErrorKind, SettingsErrors};

/// Longest time that may be set for an evacuation to take effect, in milliseconds.
const MAX_EVACUATE_MS: f64 = 3_600_000.0;
/// Memory of the process if the settings don't state it, in MB.
const DEFAULT_MEMORY_MB: f64 = 1_024.0;
/// Memory with which a router can run, in MB.
const MEMORY_RANGE_MB: RangeInclusive<f64> = 32.0..=1_048_576.0;

/// Limits that the operators set for the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetLimits {
    /// Maximum duration of a graceful shutdown.
    pub stop_grace: MilliDuration,
    /// Retries allowed per request in the window.
    pub retry_ratio: f64,
    /// Length of the sliding window over which retries are counted.
    pub retry_window: MilliDuration,
    /// Retries allowed in a window in addition to the ratio.
    pub retry_slack: f64,
    /// Maximum load of a target, as a multiple of the mean load of its service.
    pub load_ratio: f64,
    /// Bound on the requests to cold targets; without one, they get as many as others.
    pub cold_tolerance: Option<ColdTolerance>,
    /// Time within which an evacuation of a data centre must take effect; `None` if the operators
    /// evacuate none.
    pub evacuate_within: Option<MilliDuration>,
}

/// The validated settings of one gateway.
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
    /// Region of each data centre; empty if the operators name no regions.
    pub regions: BTreeMap<DataCentre, RegionName>,
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for readiness checks of the load balancer.
    pub readiness: SocketAddr,
    /// Listening address for other routers.
    pub peers: SocketAddr,
    /// Listening address for metrics scrapers.
    pub metrics: SocketAddr,
    /// Address of the platform's object store.
    pub store: SocketAddr,
    /// Key that authenticates messages between routers.
    pub exchange_key: SecretText,
    /// Bandwidth of the host's link, in Mbit/s.
    pub link_mbps: f64,
    /// Fraction of a core that is assigned to the process, times the speed of the core.
    pub core_share: f64,
    /// Maximum number of open file descriptors.
    pub max_descriptors: u64,
    /// Memory that the process may use, in MB (1,000,000 bytes).
    pub memory_mb: f64,
    /// Limits that apply to the whole fleet.
    pub fleet: FleetLimits,
    /// Logging.
    pub logs: LogSettings,
}

impl GatewaySettings {
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
        let host = root.section("host");
        let name = host.required("name");
        let data_centre = host.required("data_centre");
        host.finish();
        let regions = read_regions(&root, data_centre.as_ref());
        let read_listener = |key| {
            let section = root.section(key);
            let address = section.required("listen");
            section.finish();
            address
        };
        let callers = read_listener("callers");
        let readiness = read_listener("readiness");
        let peers = read_listener("peers");
        let metrics = read_listener("metrics");
        let store = root.section("store");
        let store_address = store.required("address");
        store.finish();
        let exchange_key = root.required("exchange_key");
        let max_descriptors = root.integer("max_descriptors", 1_024, 64..=10_000_000);
        let memory_mb = read_memory(&root);
        let link_mbps = root.value_or("link_mbps", 1_000.0);
        let core_share = root.value_or("core_share", 1.0);
        let fleet = read_fleet_limits(root.section("fleet"));
        let logs = LogSettings::read(root.section("logs"));
        root.finish();
        Some(Self {
            name: name?,
            data_centre: data_centre?,
            regions,
            callers: callers?,
            readiness: readiness?,
            peers: peers?,
            metrics: metrics?,
            store: store_address?,
            exchange_key: exchange_key?,
            link_mbps,
            core_share,
            max_descriptors,
            memory_mb,
            fleet,
            logs,
        })
    }
}

fn read_memory(root: &SectionReader<'_>) -> f64 {
    let memory_mb = root.value_or("memory_mb", DEFAULT_MEMORY_MB);
    if !MEMORY_RANGE_MB.contains(&memory_mb) {
        let hint = format!(
            "expected {} to {}",
            MEMORY_RANGE_MB.start(),
            MEMORY_RANGE_MB.end()
        );
        root.add_error(SettingsErrorKind::OutOfRange, "memory_mb", &hint);
    }
    memory_mb
}

fn read_fleet_limits(section: SectionReader<'_>) -> FleetLimits {
    let seconds = |key, default: f64| {
        let value: f64 = section.value_or(key, default);
        MilliDuration::from_millis((value * 1_000.0) as u64)
    };
    let limits = FleetLimits {
        stop_grace: seconds("stop_grace_s", 8.0),
        retry_ratio: section.value_or("retry_ratio", 0.2),
        retry_window: seconds("retry_window_s", 10.0),
        retry_slack: section.value_or("retry_slack", 20.0),
        load_ratio: section.value_or("load_ratio", 2.0),
        cold_tolerance: ColdTolerance::read(&section),
        evacuate_within: read_evacuation_bound(&section),
    };
    section.finish();
    limits
}

fn read_evacuation_bound(section: &SectionReader<'_>) -> Option<MilliDuration> {
    let key = "evacuate_ms";
    let millis: f64 = section.optional(key)?;
    if !(1.0..=MAX_EVACUATE_MS).contains(&millis) {
        let hint = format!("expected 1 to {MAX_EVACUATE_MS}");
        section.add_error(SettingsErrorKind::OutOfRange, key, &hint);
    }
    Some(MilliDuration::from_millis(millis as u64))
}

/// Reads the region of each data centre; that of the router itself has to be among them.
fn read_regions(
    root: &SectionReader<'_>,
    local: Option<&DataCentre>,
) -> BTreeMap<DataCentre, RegionName> {
    let key = "data_centre_regions";
    let table = root.table::<RegionName>(key);
    let is_missing = |local: &DataCentre| !table.is_empty() && !table.contains_key(local.as_str());
    if let Some(local) = local.filter(|local| is_missing(local)) {
        let hint = format!("add the region of {local}, the data centre of this router");
        root.add_error(SettingsErrorKind::Conflict, key, &hint);
    }
    let entries = table.into_iter();
    entries
        .map(|(name, region)| (name.as_str().into(), region))
        .collect()
}
