//! HTTP API of the host list.

use std::io;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use briarrail_model::{HostEntry, HostName, MilliDuration, MilliTime};
use http::{Method, StatusCode};

use crate::hosts::host_change_log::HostChangeLog;
use crate::hosts::{HostListFaults, HostListSettings};
use crate::server::{
    FaultInjector, StandinApp, StandinHandle, StandinRequest, StandinResponse, start_standin,
};

const HOSTS_PATH: &str = "/v1/hosts";
const HOST_PREFIX: &str = "/v1/hosts/";

/// Stand-in for the platform's host list.
#[derive(Debug)]
pub struct HostListStandin {
    faults: FaultInjector<HostListFaults>,
    log: Mutex<HostChangeLog>,
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
    let mut log = HostChangeLog::default();
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
    /// Returns the fault injector.
    #[must_use]
    pub fn faults(&self) -> &FaultInjector<HostListFaults> {
        &self.app().faults
    }

    /// Adds or replaces a host.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it changed the host list.
    pub fn put(&self, entry: HostEntry) {
        let mut log = self.app().log.lock().expect("mutex is not poisoned");
        log.put(entry, unix_now());
    }

    /// Removes a host.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it changed the host list.
    pub fn remove(&self, name: &HostName) {
        let mut log = self.app().log.lock().expect("mutex is not poisoned");
        log.remove(name, unix_now());
    }
}

impl HostListStandin {
    fn read(&self, request: &StandinRequest) -> StandinResponse {
        let faults = self.faults.get();
        if faults.outage {
            return StandinResponse::error(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        let now = unix_now();
        let lag = MilliDuration::from_millis(faults.lag_ms);
        let since = request.query_parameter("since").unwrap_or(0);
        let mut log = self.log.lock().expect("mutex is not poisoned");
        log.apply_flapping(&faults, now);
        StandinResponse::json(StatusCode::OK, &log.delta(since, lag, now))
    }

    fn write(&self, name: &str, request: &StandinRequest) -> StandinResponse {
        let mut log = self.log.lock().expect("mutex is not poisoned");
        if request.method == Method::DELETE {
            log.remove(&name.into(), unix_now());
            return StandinResponse::empty(StatusCode::NO_CONTENT);
        }
        match serde_json::from_slice::<HostEntry>(&request.body) {
            Ok(entry) if entry.name.as_str() == name => log.put(entry, unix_now()),
            Ok(_) => return bad_request("the name in the body differs from the path"),
            Err(error) => return bad_request(&error.to_string()),
        }
        StandinResponse::empty(StatusCode::NO_CONTENT)
    }
}

impl StandinApp for HostListStandin {
    type Faults = HostListFaults;

    fn faults(&self) -> &FaultInjector<HostListFaults> {
        &self.faults
    }

    async fn handle(&self, request: StandinRequest) -> StandinResponse {
        let name = request.path.strip_prefix(HOST_PREFIX);
        match (&request.method, name) {
            (&Method::GET, None) if request.path == HOSTS_PATH => self.read(&request),
            (&Method::PUT | &Method::DELETE, Some(name)) => self.write(name, &request),
            _ => StandinResponse::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn inspect(&self, _call: &StandinRequest) -> StandinResponse {
        StandinResponse::error(StatusCode::NOT_FOUND, "no such path")
    }
}

fn bad_request(message: &str) -> StandinResponse {
    StandinResponse::error(StatusCode::BAD_REQUEST, message)
}

fn unix_now() -> MilliTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |since| since.as_millis());
    MilliTime::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
}
