//! The object API over HTTP.

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
    FaultInjector, StandinApp, StandinCall, StandinHandle, StandinReply, start_standin,
};

const OBJECT_PREFIX: &str = "/v1/objects/";
const LIST_PATH: &str = "/v1/list";
const WATCH_PATH: &str = "/v1/watch";
const COUNTS_PATH: &str = "/_standin/counts";
const DEFAULT_WATCH_MS: u64 = 30_000;

/// Stand-in of the object API: objects in memory, one revision for the whole store.
#[derive(Debug)]
pub struct ObjectApiStandin {
    faults: FaultInjector<ObjectApiFaults>,
    objects: Mutex<ObjectMap>,
    revision: watch::Sender<u64>,
    counts: Mutex<ObjectApiCounts>,
    window: Mutex<RateWindow>,
}

/// Calls taken within the present second.
#[derive(Debug)]
struct RateWindow {
    start: Instant,
    calls: u32,
}

/// Starts an object API on an address such as `127.0.0.1:0`.
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
        window: Mutex::new(RateWindow {
            start: Instant::now(),
            calls: 0,
        }),
    };
    start_standin(address, app).await
}

impl StandinHandle<ObjectApiStandin> {
    /// Returns the switches of the faults.
    #[must_use]
    pub fn faults(&self) -> &FaultInjector<ObjectApiFaults> {
        &self.app().faults
    }

    /// Returns the counts of calls.
    #[must_use]
    pub fn counts(&self) -> ObjectApiCounts {
        self.app().read_counts()
    }
}

impl ObjectApiStandin {
    fn read_counts(&self) -> ObjectApiCounts {
        *self.counts.lock().expect("no holder panics")
    }

    fn count<C>(&self, change: C)
    where
        C: FnOnce(&mut ObjectApiCounts),
    {
        change(&mut self.counts.lock().expect("no holder panics"));
    }

    /// Returns the reply to a call that an outage or the rate limit keeps from taking effect.
    async fn obstacle(&self) -> Option<StandinReply> {
        let faults = self.faults.get();
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        let reply = match self.faults.get().outage {
            Some(outage) => outage_reply(outage),
            None if self.over_rate(faults.calls_per_s) => {
                StandinReply::error(StatusCode::TOO_MANY_REQUESTS, "rate limit")
            }
            None => return None,
        };
        self.count(|counts| counts.refused += 1);
        Some(reply)
    }

    fn over_rate(&self, limit: Option<u32>) -> bool {
        let mut window = self.window.lock().expect("no holder panics");
        if window.start.elapsed() >= Duration::from_secs(1) {
            window.start = Instant::now();
            window.calls = 0;
        }
        window.calls += 1;
        limit.is_some_and(|limit| window.calls > limit)
    }

    fn read(&self, key: &str) -> StandinReply {
        self.count(|counts| counts.reads += 1);
        let object = self.objects.lock().expect("no holder panics").get(key);
        let Some(object) = object else {
            return StandinReply::error(StatusCode::NOT_FOUND, "no such object");
        };
        let reply = StandinReply::bytes(StatusCode::OK, "application/octet-stream", object.value);
        with_version(reply, object.version)
    }

    fn write(&self, key: &str, call: &StandinCall) -> StandinReply {
        let Some(condition) = read_condition(call) else {
            return StandinReply::error(StatusCode::BAD_REQUEST, "malformed condition");
        };
        if call.body.len() > MAX_VALUE_BYTES {
            return StandinReply::error(StatusCode::PAYLOAD_TOO_LARGE, "value over 1 MiB");
        }
        self.count(|counts| counts.writes += 1);
        let value = (call.method == Method::PUT).then(|| call.body.clone());
        let mut objects = self.objects.lock().expect("no holder panics");
        let written = objects.write(key, value, condition);
        drop(objects);
        match written {
            Ok(version) => self.confirm(version),
            Err(current) => {
                self.count(|counts| counts.conflicts += 1);
                let reply = StandinReply::error(StatusCode::PRECONDITION_FAILED, "conflict");
                match current {
                    Some(version) => with_version(reply, version),
                    None => reply,
                }
            }
        }
    }

    /// Wakes the watches, and confirms a write unless its reply is to be lost.
    fn confirm(&self, version: ObjectVersion) -> StandinReply {
        self.revision.send_replace(version.0);
        if self.faults.take(|faults| &mut faults.lose_replies_next) {
            self.count(|counts| counts.lost_replies += 1);
            return StandinReply::Abort;
        }
        with_version(StandinReply::empty(StatusCode::OK), version)
    }

    fn list(&self, call: &StandinCall) -> StandinReply {
        self.count(|counts| counts.reads += 1);
        let prefix: String = call.parameter("prefix").unwrap_or_default();
        let listing = self.objects.lock().expect("no holder panics").list(&prefix);
        StandinReply::json(StatusCode::OK, &listing)
    }

    fn changes(&self, prefix: &str, after: ObjectVersion) -> WatchBatch {
        let objects = self.objects.lock().expect("no holder panics");
        objects.changes(prefix, after)
    }

    async fn watch(&self, call: &StandinCall) -> StandinReply {
        self.count(|counts| counts.watches += 1);
        let timeout = call.parameter("timeout_ms").unwrap_or(DEFAULT_WATCH_MS);
        let deadline = Instant::now() + Duration::from_millis(timeout);
        let prefix: String = call.parameter("prefix").unwrap_or_default();
        let after = ObjectVersion(call.parameter("after").unwrap_or(0));
        let mut revisions = self.revision.subscribe();
        let mut faults = self.faults.subscribe();
        loop {
            revisions.borrow_and_update();
            if let Some(outage) = faults.borrow_and_update().outage {
                return outage_reply(outage);
            }
            let batch = self.changes(&prefix, after);
            if !batch.events.is_empty() || Instant::now() >= deadline {
                return StandinReply::json(StatusCode::OK, &batch);
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

    async fn answer(&self, call: StandinCall) -> StandinReply {
        if let Some(reply) = self.obstacle().await {
            return reply;
        }
        if let Some(key) = call.path.strip_prefix(OBJECT_PREFIX) {
            return match call.method {
                Method::GET => self.read(key),
                Method::PUT | Method::DELETE => self.write(key, &call),
                _ => StandinReply::error(StatusCode::METHOD_NOT_ALLOWED, "GET, PUT or DELETE"),
            };
        }
        match call.path.as_str() {
            LIST_PATH => self.list(&call),
            WATCH_PATH => self.watch(&call).await,
            _ => StandinReply::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn inspect(&self, call: &StandinCall) -> StandinReply {
        if call.path != COUNTS_PATH {
            return StandinReply::error(StatusCode::NOT_FOUND, "no such path");
        }
        StandinReply::json(StatusCode::OK, &self.read_counts())
    }
}

fn outage_reply(outage: OutageKind) -> StandinReply {
    match outage {
        OutageKind::Refuse => StandinReply::error(StatusCode::SERVICE_UNAVAILABLE, "outage"),
        OutageKind::Close => StandinReply::Abort,
        OutageKind::Hang => StandinReply::Hang,
    }
}

fn with_version(reply: StandinReply, version: ObjectVersion) -> StandinReply {
    reply.with_header(VERSION_HEADER, &version.0.to_string())
}

/// Reads the condition of a write; none when it is malformed.
fn read_condition(call: &StandinCall) -> Option<WriteCondition> {
    if let Some(version) = call.header("if-match") {
        let version = version.parse().ok()?;
        return Some(WriteCondition::Version(ObjectVersion(version)));
    }
    match call.header("if-none-match") {
        Some("*") => Some(WriteCondition::Absent),
        Some(_) => None,
        None => Some(WriteCondition::Always),
    }
}
