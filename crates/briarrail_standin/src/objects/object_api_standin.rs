//! HTTP API of the object API stand-in.

use std::io;
use std::sync::Mutex;
use std::time::Duration;

use briarrail_platform::{
    MAX_VALUE_BYTES, ObjectVersion, VERSION_HEADER, WatchBatch, WriteCondition,
};
use http::{Method, StatusCode};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::objects::object_map::ObjectMap;
use crate::objects::{ObjectApiCounts, ObjectApiFaults, ObjectApiSettings, OutageKind};
use crate::server::{
    FaultInjector, StandinApp, StandinHandle, StandinRequest, StandinResponse, start_standin,
};

const OBJECT_PREFIX: &str = "/v1/objects/";
const LIST_PATH: &str = "/v1/list";
const WATCH_PATH: &str = "/v1/watch";
const COUNTS_PATH: &str = "/_standin/counts";
const DEFAULT_WATCH_TIMEOUT_MS: u64 = 30_000;

/// Stand-in for the object API, with in-memory objects and one revision for the whole store.
#[derive(Debug)]
pub struct ObjectApiStandin {
    faults: FaultInjector<ObjectApiFaults>,
    objects: Mutex<ObjectMap>,
    revision: watch::Sender<u64>,
    counts: Mutex<ObjectApiCounts>,
    rate_window: Mutex<RateWindow>,
}

/// Number of requests within a window of one second.
#[derive(Debug)]
struct RateWindow {
    start: Instant,
    requests: u32,
}

/// Starts the object API on an address such as `127.0.0.1:0`.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub async fn start_object_api(
    address: &str,
    settings: ObjectApiSettings,
) -> io::Result<StandinHandle<ObjectApiStandin>> {
    let (revision, _) = watch::channel(0);
    let app = ObjectApiStandin {
        faults: FaultInjector::new(settings.faults),
        objects: Mutex::default(),
        revision,
        counts: Mutex::default(),
        rate_window: Mutex::new(RateWindow {
            start: Instant::now(),
            requests: 0,
        }),
    };
    start_standin(address, app).await
}

impl StandinHandle<ObjectApiStandin> {
    /// Returns the fault injector.
    #[must_use]
    pub fn faults(&self) -> &FaultInjector<ObjectApiFaults> {
        &self.app().faults
    }

    /// Returns the request counts.
    #[must_use]
    pub fn counts(&self) -> ObjectApiCounts {
        self.app().read_counts()
    }
}

impl ObjectApiStandin {
    fn read_counts(&self) -> ObjectApiCounts {
        *self.counts.lock().expect("mutex is not poisoned")
    }

    fn update_counts<C>(&self, change: C)
    where
        C: FnOnce(&mut ObjectApiCounts),
    {
        change(&mut self.counts.lock().expect("mutex is not poisoned"));
    }

    /// Applies the injected delay, then returns the response of an outage or of the rate limit.
    ///
    /// Returns `None` if the request is to be processed.
    async fn injected_failure(&self) -> Option<StandinResponse> {
        let faults = self.faults.get();
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        let response = match self.faults.get().outage {
            Some(outage) => outage_response(outage),
            None if self.exceeds_rate_limit(faults.calls_per_s) => {
                StandinResponse::error(StatusCode::TOO_MANY_REQUESTS, "rate limit")
            }
            None => return None,
        };
        self.update_counts(|counts| counts.refused += 1);
        Some(response)
    }

    fn exceeds_rate_limit(&self, limit: Option<u32>) -> bool {
        let mut window = self.rate_window.lock().expect("mutex is not poisoned");
        if window.start.elapsed() >= Duration::from_secs(1) {
            window.start = Instant::now();
            window.requests = 0;
        }
        window.requests += 1;
        limit.is_some_and(|limit| window.requests > limit)
    }

    fn read(&self, key: &str) -> StandinResponse {
        self.update_counts(|counts| counts.reads += 1);
        let object = self.objects.lock().expect("mutex is not poisoned").get(key);
        let Some(object) = object else {
            return StandinResponse::error(StatusCode::NOT_FOUND, "no such object");
        };
        let response =
            StandinResponse::bytes(StatusCode::OK, "application/octet-stream", object.value);
        with_version(response, object.version)
    }

    fn write(&self, key: &str, request: &StandinRequest) -> StandinResponse {
        let Some(condition) = parse_write_condition(request) else {
            return StandinResponse::error(StatusCode::BAD_REQUEST, "malformed condition");
        };
        if request.body.len() > MAX_VALUE_BYTES {
            return StandinResponse::error(StatusCode::PAYLOAD_TOO_LARGE, "value over 1 MiB");
        }
        self.update_counts(|counts| counts.writes += 1);
        let value = (request.method == Method::PUT).then(|| request.body.clone());
        let mut objects = self.objects.lock().expect("mutex is not poisoned");
        let written = objects.write(key, value, condition);
        drop(objects);
        match written {
            Ok(version) => self.finish_write(version),
            Err(current) => {
                self.update_counts(|counts| counts.conflicts += 1);
                let response = StandinResponse::error(StatusCode::PRECONDITION_FAILED, "conflict");
                match current {
                    Some(version) => with_version(response, version),
                    None => response,
                }
            }
        }
    }

    /// Notifies the watches of a write, and returns its response unless a fault drops it.
    fn finish_write(&self, version: ObjectVersion) -> StandinResponse {
        self.revision.send_replace(version.0);
        if self.faults.consume(|faults| &mut faults.lose_replies_next) {
            self.update_counts(|counts| counts.lost_replies += 1);
            return StandinResponse::Abort;
        }
        with_version(StandinResponse::empty(StatusCode::OK), version)
    }

    fn list(&self, request: &StandinRequest) -> StandinResponse {
        self.update_counts(|counts| counts.reads += 1);
        let prefix: String = request.query_parameter("prefix").unwrap_or_default();
        let listing = self
            .objects
            .lock()
            .expect("mutex is not poisoned")
            .list(&prefix);
        StandinResponse::json(StatusCode::OK, &listing)
    }

    fn changes(&self, prefix: &str, after: ObjectVersion) -> WatchBatch {
        let objects = self.objects.lock().expect("mutex is not poisoned");
        objects.changes(prefix, after)
    }

    async fn watch(&self, request: &StandinRequest) -> StandinResponse {
        self.update_counts(|counts| counts.watches += 1);
        let timeout = request
            .query_parameter("timeout_ms")
            .unwrap_or(DEFAULT_WATCH_TIMEOUT_MS);
        let deadline = Instant::now() + Duration::from_millis(timeout);
        let prefix: String = request.query_parameter("prefix").unwrap_or_default();
        let after = ObjectVersion(request.query_parameter("after").unwrap_or(0));
        let mut revisions = self.revision.subscribe();
        let mut faults = self.faults.subscribe();
        loop {
            revisions.borrow_and_update();
            if let Some(outage) = faults.borrow_and_update().outage {
                return outage_response(outage);
            }
            let batch = self.changes(&prefix, after);
            if !batch.events.is_empty() || Instant::now() >= deadline {
                return StandinResponse::json(StatusCode::OK, &batch);
            }
            tokio::select! {
                _ = revisions.changed() => {}
                _ = faults.changed() => {}
                () = tokio::time::sleep_until(deadline) => {}
            }
        }
    }
}

impl StandinApp for ObjectApiStandin {
    type Faults = ObjectApiFaults;

    fn faults(&self) -> &FaultInjector<ObjectApiFaults> {
        &self.faults
    }

    async fn handle(&self, request: StandinRequest) -> StandinResponse {
        if let Some(response) = self.injected_failure().await {
            return response;
        }
        if let Some(key) = request.path.strip_prefix(OBJECT_PREFIX) {
            return match request.method {
                Method::GET => self.read(key),
                Method::PUT | Method::DELETE => self.write(key, &request),
                _ => StandinResponse::error(StatusCode::METHOD_NOT_ALLOWED, "GET, PUT or DELETE"),
            };
        }
        match request.path.as_str() {
            LIST_PATH => self.list(&request),
            WATCH_PATH => self.watch(&request).await,
            _ => StandinResponse::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn inspect(&self, request: &StandinRequest) -> StandinResponse {
        if request.path != COUNTS_PATH {
            return StandinResponse::error(StatusCode::NOT_FOUND, "no such path");
        }
        StandinResponse::json(StatusCode::OK, &self.read_counts())
    }
}

fn outage_response(outage: OutageKind) -> StandinResponse {
    match outage {
        OutageKind::Refuse => StandinResponse::error(StatusCode::SERVICE_UNAVAILABLE, "outage"),
        OutageKind::Close => StandinResponse::Abort,
        OutageKind::Hang => StandinResponse::Hang,
    }
}

fn with_version(response: StandinResponse, version: ObjectVersion) -> StandinResponse {
    response.with_header(VERSION_HEADER, &version.0.to_string())
}

/// Returns the condition of a write from its headers, or `None` if it is malformed.
fn parse_write_condition(request: &StandinRequest) -> Option<WriteCondition> {
    if let Some(version) = request.header("if-match") {
        let version = version.parse().ok()?;
        return Some(WriteCondition::Version(ObjectVersion(version)));
    }
    match request.header("if-none-match") {
        Some("*") => Some(WriteCondition::Absent),
        Some(_) => None,
        None => Some(WriteCondition::Always),
    }
}
