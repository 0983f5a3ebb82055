//! Settings that are built in code.

use std::net::{Ipv4Addr, SocketAddr};

use crate::{
    ClaimSettings, DaemonSettings, ExchangeKey, ExchangeSettings, HostSettings, IdentitySettings,
    LimitSettings, ListenerSettings, LogSettings, PlatformSettings, StopSettings, ThreadSettings,
};

/// Builds settings for tests and examples, with loopback addresses and ephemeral ports.
///
/// ```
/// use briarrail_settings::DaemonSettings;
///
/// let settings = DaemonSettings::builder()
///     .host("entry-1", "gongoni", "coast")
///     .platform("http://127.0.0.1:7100", "http://127.0.0.1:7200")
///     .build();
/// assert_eq!(settings.callers.listen.port(), 0);
/// ```
#[derive(Debug, Clone)]
#[must_use]
pub struct SettingsBuilder {
    settings: DaemonSettings,
}

impl Default for SettingsBuilder {
    fn default() -> Self {
        let loopback = ListenerSettings {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        };
        let settings = DaemonSettings {
            host: HostSettings {
                name: "entry-1".into(),
                incarnation: None,
                data_centre: "local".into(),
                region: "local".into(),
            },
            callers: loopback,
            operators: loopback,
            peers: loopback,
            platform: PlatformSettings {
                object_api_url: "http://127.0.0.1:7100".into(),
                host_list_url: "http://127.0.0.1:7200".into(),
                timeout_ms: PlatformSettings::TIMEOUT,
                host_poll_ms: PlatformSettings::HOST_POLL,
            },
            identity: IdentitySettings::default(),
            exchange: ExchangeSettings {
                keys: vec![ExchangeKey {
                    id: "local".into(),
                    secret: "secret of local tests only".into(),
                }],
                router_service: ExchangeSettings::ROUTER_SERVICE.into(),
                interval_ms: ExchangeSettings::INTERVAL,
                budget_bytes_per_s: ExchangeSettings::BUDGET_BYTES_PER_S,
            },
            limits: LimitSettings::default(),
            claims: ClaimSettings::default(),
            stop: StopSettings::default(),
            logs: LogSettings::default(),
            threads: ThreadSettings::default(),
        };
        Self { settings }
    }
}

impl SettingsBuilder {
    /// Sets the name, data centre and region of the router.
    pub fn host(mut self, name: &str, data_centre: &str, region: &str) -> Self {
        self.settings.host.name = name.into();
        self.settings.host.data_centre = data_centre.into();
        self.settings.host.region = region.into();
        self
    }

    /// Sets the number that increases each time the host starts.
    pub fn incarnation(mut self, incarnation: u64) -> Self {
        self.settings.host.incarnation = Some(incarnation);
        self
    }

    /// Sets the listening addresses for callers, operators and peers.
    pub fn listen(mut self, callers: SocketAddr, operators: SocketAddr, peers: SocketAddr) -> Self {
        self.settings.callers.listen = callers;
        self.settings.operators.listen = operators;
        self.settings.peers.listen = peers;
        self
    }

    /// Sets the base URLs of the object API and the host list.
    pub fn platform(mut self, object_api_url: &str, host_list_url: &str) -> Self {
        self.settings.platform.object_api_url = object_api_url.into();
        self.settings.platform.host_list_url = host_list_url.into();
        self
    }

    /// Replaces all exchange keys with one.
    pub fn exchange_key(mut self, id: &str, secret: &str) -> Self {
        let key = ExchangeKey {
            id: id.into(),
            secret: secret.into(),
        };
        self.settings.exchange.keys = vec![key];
        self
    }

    /// Modifies the settings with a closure.
    pub fn adjust<F>(mut self, change: F) -> Self
    where
        F: FnOnce(&mut DaemonSettings),
    {
        change(&mut self.settings);
        self
    }

    /// Returns the settings.
    #[must_use]
    pub fn build(self) -> DaemonSettings {
        self.settings
    }
}
