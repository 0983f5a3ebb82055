//! The host list over HTTP.

use std::io;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use briarrail_model::{HostEntry, HostName, MilliDuration, MilliTime};
use http::{Method, StatusCode};

use crate::hosts::host_log::HostLog;
use crate::hosts::{HostListFaults, HostListSettings};
use crate::server::{
    FaultInjector, StandinApp, StandinCall, StandinHandle, StandinReply, start_standin,
};

const HOSTS_PATH: &str = "/v1/hosts";
const HOST_PREFIX: &str = "/v1/hosts/";

/// Stand-in of the host list.
#[derive(Debug)]
pub struct HostListStandin {
    faults: FaultInjector<HostListFaults>,
    log: Mutex<HostLog>,
}

/// Starts a host list on an address such as `127.0.0.1:0`.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub async fn start_host_list(
    address: &str,
    settings: HostListSettings,
) -> io::Result<StandinHandle<HostListStandin>> {
    let mut log = HostLog::default();
    for entry in settings.hosts {
        log.put(entry, MilliTime::default());
    }
    let app = HostListStandin {
        faults: FaultInjector::new(settings.faults),
        log: Mutex::new(log),
    };
    start_standin(address, app).await
}

impl StandinHandle<HostListStandin> {
    /// Returns the switches of the faults.
    #[must_use]
    pub fn faults(&self) -> &FaultInjector<HostListFaults> {
        &self.app().faults
    }

    /// Adds or replaces a host.
    ///
    /// # Panics
    ///
    /// Panics if an earlier holder of the list panicked.
    pub fn put(&self, entry: HostEntry) {
        let mut log = self.app().log.lock().expect("no holder panics");
        log.put(entry, unix_now());
    }

    /// Removes a host.
    ///
    /// # Panics
    ///
    /// Panics if an earlier holder of the list panicked.
    pub fn remove(&self, name: &HostName) {
        let mut log = self.app().log.lock().expect("no holder panics");
        log.remove(name, unix_now());
    }
}

impl HostListStandin {
    fn read(&self, call: &StandinCall) -> StandinReply {
        let faults = self.faults.get();
        if faults.outage {
            return StandinReply::error(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        let now = unix_now();
        let lag = MilliDuration::from_millis(faults.lag_ms);
        let since = call.parameter("since").unwrap_or(0);
        let mut log = self.log.lock().expect("no holder panics");
        log.flap(&faults, now);
        StandinReply::json(StatusCode::OK, &log.delta(since, lag, now))
    }

    fn write(&self, name: &str, call: &StandinCall) -> StandinReply {
        let mut log = self.log.lock().expect("no holder panics");
        if call.method == Method::DELETE {
            log.remove(&name.into(), unix_now());
            return StandinReply::empty(StatusCode::NO_CONTENT);
        }
        match serde_json::from_slice::<HostEntry>(&call.body) {
            Ok(entry) if entry.name.as_str() == name => log.put(entry, unix_now()),
            Ok(_) => return bad_request("the name in the body differs from the path"),
            Err(error) => return bad_request(&error.to_string()),
        }
        StandinReply::empty(StatusCode::NO_CONTENT)
    }
}

impl StandinApp for HostListStandin {
    type Faults = HostListFaults;

    fn faults(&self) -> &FaultInjector<HostListFaults> {
        &self.faults
    }

    async fn answer(&self, call: StandinCall) -> StandinReply {
        let name = call.path.strip_prefix(HOST_PREFIX);
        match (&call.method, name) {
            (&Method::GET, None) if call.path == HOSTS_PATH => self.read(&call),
            (&Method::PUT | &Method::DELETE, Some(name)) => self.write(name, &call),
            _ => StandinReply::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn inspect(&self, _call: &StandinCall) -> StandinReply {
        StandinReply::error(StatusCode::NOT_FOUND, "no such path")
    }
}

fn bad_request(message: &str) -> StandinReply {
    StandinReply::error(StatusCode::BAD_REQUEST, message)
}

fn unix_now() -> MilliTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |since| since.as_millis());
    MilliTime::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
}
