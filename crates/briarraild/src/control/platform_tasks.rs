//! Asynchronous calls of the control thread to the platform, peers and targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use briarrail_config::{ConfigReader, ConfigUpdate, HEAD_KEY};
use briarrail_fleet::{ConfigRead, HostChange, SendId, WatchOutcome};
use briarrail_model::{HostEntry, LoadRecord};
use briarrail_outcome::{StoreCall, StoreReply, StoreVersion};
use briarrail_platform::{
    HostDirectory, ObjectStore, ObjectVersion, StoreError, StoreErrorKind, WriteCondition,
};
use bytes::Bytes;
use serde::Deserialize;
use tokio::sync::mpsc;

use super::ControlEvent;
use super::claim_service::PendingStoreCall;
use super::control_event::PeerPath;
use crate::system_clock::SystemClock;

const LOAD_TIMEOUT: Duration = Duration::from_millis(900);
const FRAME_TIMEOUT: Duration = Duration::from_millis(1_000);
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Value of [`LoadRecord::keep_share`] for all chats.
const MAX_KEEP_SHARE: u8 = u8::MAX;

/// Spawns calls whose results are sent to the control thread as events.
#[derive(Debug, Clone)]
pub(crate) struct PlatformTasks<S, D> {
    store: Arc<S>,
    claim_store: Arc<S>,
    directory: Arc<D>,
    client: reqwest::Client,
    events: mpsc::Sender<ControlEvent>,
    clock: SystemClock,
}

/// Load that a target reports.
#[derive(Debug, Clone, Copy, Deserialize)]
struct LoadReport {
    streams: u32,
    #[serde(default)]
    queued: u32,
}

impl<S, D> PlatformTasks<S, D>
where
    S: ObjectStore,
    D: HostDirectory,
{
    /// Creates the tasks.
    ///
    /// Results are sent to `events`. Store calls for claims use `claim_store`.
    pub(crate) fn new(
        store: Arc<S>,
        claim_store: Arc<S>,
        directory: Arc<D>,
        client: reqwest::Client,
        events: mpsc::Sender<ControlEvent>,
        clock: SystemClock,
    ) -> Self {
        Self {
            store,
            claim_store,
            directory,
            client,
            events,
            clock,
        }
    }

    /// Sends a frame to the exchange path of a peer.
    pub(crate) fn send_frame(&self, id: SendId, address: SocketAddr, frame: Bytes) {
        let client = self.client.clone();
        self.spawn(async move {
            let reply = post_frame(&client, address, PeerPath::Exchange, frame, FRAME_TIMEOUT);
            ControlEvent::SendCompleted(id, reply.await.ok())
        });
    }

    /// Reads the changes of the host list since a revision.
    pub(crate) fn read_hosts(&self, since: u64) {
        let directory = Arc::clone(&self.directory);
        self.spawn(async move {
            let delta = directory.changes_since(since).await;
            let delta = delta.inspect_err(|error| {
                tracing::warn!(%error, "control: could not read the host list");
            });
            let change = delta.map(|delta| HostChange::from_delta(since, delta));
            ControlEvent::HostListRead(change.ok())
        });
    }

    /// Reads the configuration after a sequence number, as edits or a snapshot; 0 reads a snapshot.
    pub(crate) fn read_config(&self, after: u64) {
        let reader = ConfigReader::new(Arc::clone(&self.store));
        self.spawn(async move {
            let update = if after == 0 {
                reader.snapshot().await.map(ConfigUpdate::Snapshot)
            } else {
                reader.update_since(after).await
            };
            let read = match update {
                Ok(ConfigUpdate::Snapshot(snapshot)) if snapshot.sequence == 0 => {
                    ConfigRead::Edits(Vec::new())
                }
                Ok(ConfigUpdate::UpToDate) => ConfigRead::Edits(Vec::new()),
                Ok(ConfigUpdate::Edits(edits)) => ConfigRead::Edits(edits),
                Ok(ConfigUpdate::Snapshot(snapshot)) => ConfigRead::Snapshot(Arc::new(snapshot)),
                Err(error) => {
                    tracing::warn!(%error, "control: could not read the configuration");
                    ConfigRead::Failed
                }
            };
            ControlEvent::ConfigRead(read)
        });
    }

    /// Watches for a change of the configuration after a sequence number.
    pub(crate) fn watch_config(&self, after: u64) {
        let store = Arc::clone(&self.store);
        self.spawn(async move { ControlEvent::ConfigWatchEnded(watch_head(&*store, after).await) });
    }

    /// Reads the load of a target.
    pub(crate) fn read_load(&self, target: &HostEntry) {
        let client = self.client.clone();
        let clock = self.clock;
        let name = target.name.clone();
        let url = format!("http://{}/v1/load", target.address);
        self.spawn(async move {
            let report = fetch_load(&client, url).await;
            let record = report.map(|report| LoadRecord {
                version: clock.now(),
                streams: report.streams + report.queued,
                keep_share: MAX_KEEP_SHARE,
            });
            ControlEvent::LoadRead(name, record.ok())
        });
    }

    /// Starts a store call for the claims.
    pub(crate) fn start_store_call(&self, pending: PendingStoreCall) {
        let store = Arc::clone(&self.claim_store);
        self.spawn(async move {
            let reply = execute_store_call(&*store, pending.call).await;
            ControlEvent::StoreReplied(pending.id, reply)
        });
    }

    fn spawn<F>(&self, call: F)
    where
        F: Future<Output = ControlEvent> + Send + 'static,
    {
        let events = self.events.clone();
        tokio::spawn(async move {
            let event = call.await;
            // The receiver is gone when the control loop has ended.
            let _ = events.send(event).await;
        });
    }
}

/// Posts a frame and returns the reply frame.
///
/// # Errors
///
/// Fails when the peer can't be reached or does not reply in time.
pub(crate) async fn post_frame(
    client: &reqwest::Client,
    address: SocketAddr,
    path: PeerPath,
    frame: Bytes,
    timeout: Duration,
) -> reqwest::Result<Bytes> {
    let url = format!("http://{address}/{}", path.as_str());
    let response = client.post(url).timeout(timeout).body(frame).send().await?;
    response.error_for_status()?.bytes().await
}

async fn fetch_load(client: &reqwest::Client, url: String) -> reqwest::Result<LoadReport> {
    let response = client.get(url).timeout(LOAD_TIMEOUT).send().await?;
    response.error_for_status()?.json().await
}

/// Watches the head of the configuration, unless it is already past the sequence number.
///
/// The watch starts at the version that was read, so that no change in between is missed.
async fn watch_head<S>(store: &S, after: u64) -> WatchOutcome
where
    S: ObjectStore,
{
    let head = match read_head(store).await {
        Ok(head) => head,
        Err(error) => return watch_error_outcome(&error),
    };
    if head.sequence > after {
        return WatchOutcome::Changed;
    }
    match store.watch(HEAD_KEY, head.version, WATCH_TIMEOUT).await {
        Ok(batch) if batch.events.is_empty() => WatchOutcome::TimedOut,
        Ok(_) => WatchOutcome::Changed,
        Err(error) => watch_error_outcome(&error),
    }
}

/// Version and sequence number of the head object.
#[derive(Debug, Clone, Copy, Default)]
struct ConfigHead {
    version: ObjectVersion,
    sequence: u64,
}

async fn read_head<S>(store: &S) -> Result<ConfigHead, StoreError>
where
    S: ObjectStore,
{
    #[derive(Deserialize)]
    struct HeadSequence {
        sequence: u64,
    }
    let Some(object) = store.get(HEAD_KEY).await? else {
        return Ok(ConfigHead::default());
    };
    let head: Result<HeadSequence, _> = serde_json::from_slice(&object.value);
    let head = head.map_err(|error| StoreError::new(StoreErrorKind::Invalid, error.to_string()))?;
    Ok(ConfigHead {
        version: object.version,
        sequence: head.sequence,
    })
}

fn watch_error_outcome(error: &StoreError) -> WatchOutcome {
    tracing::warn!(%error, "control: could not watch the configuration");
    WatchOutcome::Failed
}

async fn execute_store_call<S>(store: &S, call: StoreCall) -> StoreReply
where
    S: ObjectStore,
{
    match call {
        StoreCall::Get { key } => match store.get(&key).await {
            Ok(Some(object)) => StoreReply::Found {
                version: StoreVersion(object.version.0),
                value: object.value,
            },
            Ok(None) => StoreReply::Missing,
            Err(error) => store_error_reply(&error),
        },
        StoreCall::Put {
            key,
            value,
            expected,
        } => {
            let has_version =
                |version: StoreVersion| WriteCondition::Version(ObjectVersion(version.0));
            let condition = expected.map_or(WriteCondition::Absent, has_version);
            match store.put(&key, value, condition).await {
                Ok(version) => StoreReply::Written {
                    version: StoreVersion(version.0),
                },
                Err(error) => store_error_reply(&error),
            }
        }
        StoreCall::Delete { key } => match store.delete(&key, WriteCondition::Always).await {
            Ok(()) => StoreReply::Deleted,
            Err(error) => store_error_reply(&error),
        },
    }
}

fn store_error_reply(error: &StoreError) -> StoreReply {
    match error.kind {
        StoreErrorKind::Conflict(_) => StoreReply::Conflict,
        StoreErrorKind::Unavailable => StoreReply::Unavailable,
        _ => {
            tracing::warn!(%error, "claims: result of a store call is unknown");
            StoreReply::Unknown
        }
    }
}
