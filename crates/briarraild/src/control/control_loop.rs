//! The loop that owns control state.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use briarrail_fleet::{FleetNode, FleetOutput, FleetView};
use briarrail_model::{HostEntry, HostName, LoadRecord, MilliDuration, MilliTime};
use briarrail_peer::FrameCodec;
use briarrail_platform::{HostDirectory, ObjectStore};
use tokio::sync::{mpsc, oneshot};
use tokio::time::MissedTickBehavior;

use super::claim_desk::{ClaimDesk, PendingCall};
use super::peer_counts::PeerCounts;
use super::snapshot_builder::SnapshotBuilder;
use super::{ControlEvent, PlatformTasks};
use crate::state::SharedState;
use crate::system_clock::SystemClock;

const TICK: Duration = Duration::from_millis(50);
const REFRESH_INTERVAL: MilliDuration = MilliDuration::from_millis(200);
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
    pub(super) parts: ControlParts,
    pub(super) tasks: PlatformTasks<S, D>,
    events: mpsc::Receiver<ControlEvent>,
    pub(super) own_loads: HashMap<HostName, LoadRecord>,
    pub(super) peer_counts: PeerCounts,
    pub(super) view: FleetView,
    pub(super) view_generation: Option<u64>,
    is_outdated: bool,
    /// Whether the router has been ready; a leaving router goes on serving.
    pub(super) has_been_ready: bool,
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
        let peer_counts = PeerCounts::new(&parts.own.name);
        Self {
            parts,
            tasks,
            events,
            own_loads: HashMap::new(),
            peer_counts,
            view: FleetView::default(),
            view_generation: None,
            is_outdated: true,
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
            self.load_due = now + self.parts.fleet.load_interval();
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
                    self.is_outdated = true;
                    self.set_objectives();
                }
                _ => {}
            }
        }
        let is_stale = self.view_generation != Some(self.parts.fleet.hosts().generation());
        if is_stale || self.is_outdated {
            self.is_outdated = false;
            self.publish(self.now());
        }
    }

    pub(super) fn call_store(&self, calls: Vec<PendingCall>) {
        for call in calls {
            self.parts.state.metrics.count_platform_call("claims");
            self.tasks.call_store(call);
        }
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

    pub(super) fn now(&self) -> MilliTime {
        self.parts.clock.now()
    }
}
