//! The loop that owns control state.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use briarrail_fleet::{FleetNode, FleetOutput, FleetView};
use briarrail_model::{ConfigSnapshot, HostEntry, HostName, LoadRecord, MilliDuration, MilliTime};
use briarrail_peer::{Envelope, FrameCodec, FrameError, MessageKind};
use briarrail_platform::{HostDirectory, ObjectStore};
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{mpsc, oneshot};
use tokio::time::MissedTickBehavior;

use super::claim_desk::{ClaimDesk, PendingCall};
use super::snapshot_builder::{SnapshotBuilder, SnapshotInputs};
use super::{ControlEvent, PeerPath, PlatformTasks};
use crate::state::{ControlBytes, SharedState};
use crate::system_clock::SystemClock;

const TICK: Duration = Duration::from_millis(50);
const REFRESH_INTERVAL: MilliDuration = MilliDuration::from_millis(250);
const LOAD_INTERVAL: MilliDuration = MilliDuration::from_millis(1_000);
/// Request and reply of a load read on the wire, headers included.
const LOAD_READ_BYTES: usize = 420;

/// The parts that the control loop drives.
#[derive(Debug)]
pub(crate) struct ControlParts {
    /// This router, as the host list shows it.
    pub(crate) own: HostEntry,
    /// Membership, exchange and configuration.
    pub(crate) fleet: FleetNode,
    /// The router's claim buckets.
    pub(crate) desk: ClaimDesk,
    /// Seals and opens the claim messages.
    pub(crate) codec: FrameCodec,
    /// Builds snapshots for the traffic threads.
    pub(crate) builder: SnapshotBuilder,
    /// State shared with the traffic threads.
    pub(crate) state: Arc<SharedState>,
    /// Clock of the process.
    pub(crate) clock: SystemClock,
}

/// Owns control state and publishes it to the traffic threads.
#[derive(Debug)]
pub(crate) struct ControlLoop<S, D> {
    parts: ControlParts,
    tasks: PlatformTasks<S, D>,
    events: mpsc::Receiver<ControlEvent>,
    own_loads: HashMap<HostName, LoadRecord>,
    published_generation: Option<u64>,
    /// Whether the router has been ready; a leaving router goes on serving.
    has_been_ready: bool,
    refresh_due: MilliTime,
    load_due: MilliTime,
    hand_over: Option<oneshot::Sender<()>>,
}

impl<S, D> ControlLoop<S, D>
where
    S: ObjectStore,
    D: HostDirectory,
{
    /// Makes the loop of a router that knows nothing yet.
    pub(crate) fn new(
        parts: ControlParts,
        tasks: PlatformTasks<S, D>,
        events: mpsc::Receiver<ControlEvent>,
    ) -> Self {
        Self {
            parts,
            tasks,
            events,
            own_loads: HashMap::new(),
            published_generation: None,
            has_been_ready: false,
            refresh_due: MilliTime::default(),
            load_due: MilliTime::default(),
            hand_over: None,
        }
    }

    /// Runs until all senders of events are gone.
    pub(crate) async fn run(mut self) {
        let mut ticker = tokio::time::interval(TICK);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticker.tick() => self.tick(),
                event = self.events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
            }
            self.carry_out();
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        self.parts.fleet.on_tick(now);
        let wake = self.parts.desk.next_wake();
        if wake.is_some_and(|wake| wake <= now) {
            let calls = self.parts.desk.tick(now);
            self.call_store(calls);
        }
        if now >= self.refresh_due {
            self.refresh_due = now + REFRESH_INTERVAL;
            self.publish(now);
        }
        if now >= self.load_due {
            self.load_due = now + LOAD_INTERVAL;
            self.read_loads();
            self.sample_rate(now);
        }
        self.finish_hand_over();
    }

    fn handle(&mut self, event: ControlEvent) {
        let now = self.now();
        let fleet = &mut self.parts.fleet;
        match event {
            ControlEvent::Frame { path, frame, reply } => self.handle_frame(path, &frame, reply),
            ControlEvent::Sent(id, Some(reply)) => fleet.on_reply(now, id, &reply),
            ControlEvent::Sent(id, None) => fleet.on_send_failed(now, id),
            ControlEvent::HostList(change) => fleet.on_hosts_read(now, change.as_ref()),
            ControlEvent::Config(read) => fleet.on_config_read(now, read),
            ControlEvent::Watch(outcome) => fleet.on_watch(now, outcome),
            ControlEvent::Load(target, record) => self.handle_load(now, target, record),
            ControlEvent::Store(id, reply) => {
                let calls = self.parts.desk.store(id, reply, now);
                self.call_store(calls);
            }
            ControlEvent::Claim(request, reply) => {
                let calls = self.parts.desk.claim(request, reply, now);
                self.call_store(calls);
            }
            ControlEvent::Report(report, reply) => {
                let calls = self.parts.desk.report(report, reply, now);
                self.call_store(calls);
            }
            ControlEvent::Leave => {
                tracing::info!("control: leaving notice sent");
                fleet.leave(now);
            }
            ControlEvent::HandOver(done) => {
                self.parts.desk.hand_over();
                self.hand_over = Some(done);
            }
        }
    }

    fn handle_load(&mut self, now: MilliTime, target: HostName, record: Option<LoadRecord>) {
        self.parts.fleet.charge_external(LOAD_READ_BYTES);
        let Some(record) = record else {
            tracing::debug!(%target, "control: load not read");
            return;
        };
        self.parts.fleet.on_load_report(now, &target, &record);
        self.own_loads.insert(target, record);
    }

    fn handle_frame(
        &mut self,
        path: PeerPath,
        frame: &Bytes,
        reply: oneshot::Sender<Option<Bytes>>,
    ) {
        let result = match path {
            PeerPath::Exchange => {
                let now = self.now();
                // A peer that has gone away sends its frame again.
                let _ = reply.send(self.parts.fleet.on_frame(now, frame));
                return;
            }
            PeerPath::Claim => self.handle_claim(frame, reply),
            PeerPath::Report => self.handle_report(frame, reply),
        };
        if let Err(error) = result {
            tracing::warn!(%error, "claims: frame dropped");
        }
    }

    fn handle_claim(
        &mut self,
        frame: &Bytes,
        reply: oneshot::Sender<Option<Bytes>>,
    ) -> Result<(), FrameError> {
        let envelope = self.open(MessageKind::ClaimRequest, frame)?;
        let (sender, answered) = oneshot::channel();
        let calls = self.parts.desk.claim(envelope.body, sender, self.now());
        self.call_store(calls);
        self.reply_sealed(MessageKind::ClaimReply, envelope.from, answered, reply);
        Ok(())
    }

    fn handle_report(
        &mut self,
        frame: &Bytes,
        reply: oneshot::Sender<Option<Bytes>>,
    ) -> Result<(), FrameError> {
        let envelope = self.open(MessageKind::ClaimReport, frame)?;
        let (sender, answered) = oneshot::channel();
        let calls = self.parts.desk.report(envelope.body, sender, self.now());
        self.call_store(calls);
        self.reply_sealed(MessageKind::ClaimReply, envelope.from, answered, reply);
        Ok(())
    }

    fn open<T>(&self, kind: MessageKind, frame: &Bytes) -> Result<Envelope<T>, FrameError>
    where
        T: DeserializeOwned,
    {
        self.parts.codec.open(kind, &self.parts.own.name, frame)
    }

    /// Seals the answer to a claim message once it is there.
    fn reply_sealed<T>(
        &self,
        kind: MessageKind,
        to: HostName,
        answered: oneshot::Receiver<T>,
        reply: oneshot::Sender<Option<Bytes>>,
    ) where
        T: Serialize + Send + 'static,
    {
        let codec = self.parts.codec.clone();
        let from = self.parts.own.name.clone();
        let incarnation = self.parts.own.incarnation;
        tokio::spawn(async move {
            let body = answered.await.ok();
            let envelope = body.map(|body| Envelope {
                from,
                incarnation,
                to,
                body,
            });
            let frame = envelope.and_then(|envelope| codec.seal(kind, &envelope).ok());
            // A router that has gone away asks again.
            let _ = reply.send(frame);
        });
    }

    fn carry_out(&mut self) {
        for output in self.parts.fleet.take_outputs() {
            match output {
                FleetOutput::Send {
                    id, address, frame, ..
                } => {
                    self.tasks.send_frame(id, address, frame);
                }
                FleetOutput::ReadHostList { since } => {
                    self.parts.state.metrics.count_platform_call("hosts");
                    self.tasks.read_hosts(since);
                }
                FleetOutput::ReadConfig { after } => {
                    self.parts.state.metrics.count_platform_call("config");
                    self.tasks.read_config(after);
                }
                FleetOutput::WatchConfig { after } => {
                    self.parts.state.metrics.count_platform_call("watch");
                    self.tasks.watch_config(after);
                }
                FleetOutput::ConfigChanged { sequence } => {
                    tracing::info!(sequence, "control: configuration in force");
                    self.published_generation = None;
                    self.set_objectives();
                }
                _ => {}
            }
        }
        let generation = Some(self.parts.fleet.hosts().generation());
        if self.published_generation != generation {
            self.publish(self.now());
        }
    }

    /// Tells the burn record the objectives of the pools in force.
    fn set_objectives(&self) {
        let Some(config) = self.parts.fleet.config() else {
            return;
        };
        let now = self.now();
        let mut burn = self.parts.state.burn();
        burn.retain_pools(|pool| config.tables.pool(pool).is_some());
        for pool in &config.tables.pools {
            burn.set_objective(&pool.name, &pool.objective, now);
        }
    }

    fn sample_rate(&self, now: MilliTime) {
        let counters = self.parts.fleet.counters();
        let bytes = ControlBytes {
            sent: counters.bytes_sent,
            received: counters.bytes_received,
        };
        self.parts.state.metrics.set_control_bytes(bytes);
        self.parts.state.rate().sample(bytes, now);
    }

    fn call_store(&self, calls: Vec<PendingCall>) {
        for call in calls {
            self.parts.state.metrics.count_platform_call("claims");
            self.tasks.call_store(call);
        }
    }

    fn read_loads(&self) {
        let observed = self.parts.fleet.observed_targets();
        let hosts = self.parts.fleet.hosts();
        for name in observed.iter() {
            let entry = hosts.key(name).and_then(|key| hosts.entry(key));
            if let Some(entry) = entry.filter(|entry| self.reports_load(entry)) {
                self.tasks.read_load(entry);
            }
        }
    }

    fn reports_load(&self, host: &HostEntry) -> bool {
        let config = self.parts.fleet.config();
        config.is_some_and(|config| {
            let mut reporting = config.tables.pools.iter().filter(|pool| pool.reports_load);
            reporting.any(|pool| pool.targets.accepts(host))
        })
    }

    fn publish(&mut self, now: MilliTime) {
        let fleet = &self.parts.fleet;
        self.has_been_ready |= fleet.is_ready();
        self.published_generation = Some(fleet.hosts().generation());
        let view = fleet.view();
        let config = fleet
            .config()
            .cloned()
            .unwrap_or_else(|| Arc::new(ConfigSnapshot::default()));
        let loads = self.latest_loads(&view);
        let inputs = SnapshotInputs {
            config: &config,
            view: &view,
            loads: &loads,
        };
        let snapshot = self.parts.builder.build(inputs, self.has_been_ready, now);
        self.parts
            .desk
            .assign(&snapshot.routers, &self.parts.own.name);
        let metrics = &self.parts.state.metrics;
        metrics.set_config_sequence(config.sequence);
        metrics.set_live_hosts("router", snapshot.routers.len() as u64);
        metrics.set_live_hosts("target", view.targets.len() as u64);
        self.parts.state.publish(snapshot);
    }

    /// Returns the latest record of each target, own readings included.
    fn latest_loads(&self, view: &FleetView) -> BTreeMap<HostName, LoadRecord> {
        let records = view.targets.iter().filter_map(|target| {
            let name = &target.entry.name;
            let exchanged = self.parts.fleet.load_of(name);
            let own = self.own_loads.get(name).copied();
            let newest = exchanged
                .into_iter()
                .chain(own)
                .max_by_key(|record| record.version)?;
            Some((name.clone(), newest))
        });
        records.collect()
    }

    fn finish_hand_over(&mut self) {
        if self.parts.desk.is_idle()
            && let Some(done) = self.hand_over.take()
        {
            tracing::info!("claims: buckets handed over");
            // A stop that no longer waits needs no word.
            let _ = done.send(());
        }
    }

    fn now(&self) -> MilliTime {
        self.parts.clock.now()
    }
}
